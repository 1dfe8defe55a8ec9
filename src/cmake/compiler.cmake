# SPDX-License-Identifier: Apache-2.0
# Language level, warnings and optional sanitizers for every target.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1 -DNDEBUG")

option(CROSSLINK_WERROR "Treat warnings as errors" OFF)
set(CROSSLINK_SANITIZE "" CACHE STRING
    "Sanitizers, as -fsanitize= takes them: address,undefined or thread")

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow)
if(CROSSLINK_WERROR)
    add_compile_options(-Werror)
endif()
if(CROSSLINK_SANITIZE)
    add_compile_options(-fsanitize=${CROSSLINK_SANITIZE}
                        -fno-omit-frame-pointer)
    add_link_options(-fsanitize=${CROSSLINK_SANITIZE})
endif()

option(CROSSLINK_CCACHE "Compile through ccache where it is there" ON)
find_program(CCACHE_PROGRAM ccache)
if(CROSSLINK_CCACHE AND CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()
