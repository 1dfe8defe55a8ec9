# SPDX-License-Identifier: Apache-2.0
include(Catch)

# Randomised runs take the same seed every time; by hand, set RC_PARAMS.
set(CROSSLINK_RC_PARAMS "seed=20261202 max_success=300")

option(CROSSLINK_UNIT_TESTS "Build the unit tests" ON)

# One program of unit tests from the `name_test.cpp` files beside the sources;
# each test case is a CTest case.
function(crosslink_unit_tests target)
    if(NOT CROSSLINK_UNIT_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    add_executable(${target} ${ARG_SOURCES}
                   ${PROJECT_SOURCE_DIR}/src/libcrosslink/test_main.cpp)
    target_link_libraries(${target} PRIVATE ${ARG_LIBRARIES} Catch2::Catch2
                          ${RAPIDCHECK_LIBRARY})
    catch_discover_tests(${target} TEST_PREFIX "unit."
        PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=${CROSSLINK_RC_PARAMS}")
endfunction()
