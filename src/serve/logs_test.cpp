// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "logs.h"

#include <catch2/catch.hpp>
#include <spdlog/spdlog.h>

#include <thread>
#include <vector>

using namespace crosslink;

TEST_CASE("threads may log while waiting lines are written, and after")
{
    const auto before = spdlog::default_logger();
    set_up_logs(LogTarget::StandardError, "info", true);
    constexpr int count = 4;
    std::vector<std::thread> threads;
    threads.reserve(count);
    for (int number = 0; number < count; ++number)
        threads.emplace_back([] {
            for (int line = 0; line < 50; ++line)
                spdlog::info("a line");
        });
    write_waiting_logs();
    spdlog::info("a line after them");
    for (std::thread& thread : threads)
        thread.join();
    CHECK(spdlog::default_logger());
    spdlog::set_default_logger(before);
}
