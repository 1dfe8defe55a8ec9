// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "store_standin.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <adapters/wire.h>
#include <crosslink/base/error.h>

#include <chrono>
#include <list>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace crosslink::standins
{

namespace
{

enum class SlotState { Free, Writing, Sealed };

struct Slot {
    SlotState state = SlotState::Free;
    std::uint64_t generation = 0;
    Digest key;
    Digest content;
    std::string owner;
    std::string data; ///< Stays after a free: what is there is there.
    std::uint64_t bytes = 0;
};

/// One limited link: transfers follow each other.
class Link
{
public:
    explicit Link(double bytes_per_second) : m_rate(bytes_per_second) {}

    /// Returns when a transfer that asks now is through.
    TimePoint transfer(std::uint64_t bytes, double slowdown)
    {
        const TimePoint now = monotonic_now();
        const Micros took =
            from_seconds(static_cast<double>(bytes) * slowdown / m_rate);
        m_free_at = std::max(m_free_at, now) + took;
        m_bytes += bytes;
        return m_free_at;
    }

    std::uint64_t bytes() const { return m_bytes; }

private:
    const double m_rate;
    TimePoint m_free_at{};
    std::uint64_t m_bytes = 0;
};

class StoreState
{
public:
    explicit StoreState(const StoreStandinSettings& settings)
        : m_settings(settings), m_incarnation(random_bits() >> 1U),
          m_memory(settings.memory_link_bytes_per_second),
          m_disk(settings.disk_link_bytes_per_second)
    {
    }

    Json::Value lookup(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<SealedBlock> blocks;
        for (const Digest& key : wire::digests_from_json(body["keys"])) {
            const auto found = m_by_key.find(key);
            if (found == m_by_key.end() ||
                m_slots[found->second].state != SlotState::Sealed)
                break;
            touch(found->second);
            blocks.push_back(describe(found->second));
        }
        Json::Value result;
        result["blocks"] = wire::blocks_to_json(blocks);
        return result;
    }

    Json::Value reserve(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        const Digest key = Digest::from_hex(json_string(body, "key"));
        const std::uint64_t bytes = json_uint64(body, "bytes");
        Json::Value result;
        result["reserved"] = false;
        if (m_by_key.contains(key))
            return result;
        if (m_full || !make_room(bytes))
            throw Error(ErrorCode::StoreFull, "the store is full");
        const std::uint64_t number = free_slot();
        Slot& slot = m_slots[number];
        slot.state = SlotState::Writing;
        ++slot.generation;
        slot.key = key;
        slot.owner = json_string(body, "owner");
        slot.bytes = bytes;
        m_used += bytes;
        m_by_key[key] = number;
        result = wire::handle_to_json(handle(number));
        result["reserved"] = true;
        return result;
    }

    Json::Value write(const Json::Value& body)
    {
        TimePoint done;
        {
            const std::lock_guard lock(m_mutex);
            const BlockHandle asked = wire::handle_from_json(body);
            Slot& slot = slot_at(asked.slot);
            const bool current =
                handle(asked.slot) == asked && slot.state == SlotState::Writing;
            if (m_settings.checks_generation && !current)
                throw Error(ErrorCode::BlockGone, "not your slot any more");
            // Without the check a late writer overwrites whatever is there.
            slot.data = json_string(body, "data");
            done = m_memory.transfer(slot.bytes, m_slowdown);
        }
        sleep_until(done);
        return Json::Value(Json::objectValue);
    }

    Json::Value seal(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        const BlockHandle asked = wire::handle_from_json(body);
        Slot& slot = slot_at(asked.slot);
        if (handle(asked.slot) != asked || slot.state != SlotState::Writing)
            throw Error(ErrorCode::BlockGone, "the reservation ended");
        slot.state = SlotState::Sealed;
        slot.content = Digest::from_hex(json_string(body, "content"));
        m_order.push_back(asked.slot);
        return Json::Value(Json::objectValue);
    }

    Json::Value abandon(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        const BlockHandle asked = wire::handle_from_json(body);
        if (handle(asked.slot) == asked &&
            slot_at(asked.slot).state == SlotState::Writing)
            free(asked.slot);
        return Json::Value(Json::objectValue);
    }

    /// Reads whatever lies in the slots, freed or not: checking is up to the
    /// reader.
    Json::Value read(const Json::Value& body)
    {
        Json::Value result;
        result["data"] = Json::Value(Json::arrayValue);
        TimePoint done;
        {
            const std::lock_guard lock(m_mutex);
            std::uint64_t bytes = 0;
            for (const Json::Value& item : body["slots"]) {
                const Slot& slot = slot_at(item.asUInt64());
                result["data"].append(slot.data);
                bytes += slot.bytes;
            }
            Link& link = m_used > m_settings.memory_bytes ? m_disk : m_memory;
            done = link.transfer(bytes, m_slowdown);
        }
        sleep_until(done);
        return result;
    }

    Json::Value verify(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        Json::Value result;
        result["sealed"] = Json::Value(Json::arrayValue);
        for (const SealedBlock& block :
             wire::blocks_from_json(body["blocks"])) {
            const bool known = block.handle.slot < m_slots.size();
            const bool sealed =
                known && handle(block.handle.slot) == block.handle &&
                m_slots[block.handle.slot].state == SlotState::Sealed &&
                m_slots[block.handle.slot].key == block.key;
            result["sealed"].append(sealed);
        }
        return result;
    }

    /// Fault: {"full", "slowdown", "forget", "free_all"}.
    Json::Value adjust(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        m_full = json_bool(body, "full", m_full);
        m_slowdown = json_double(body, "slowdown", m_slowdown);
        if (json_bool(body, "free_all"))
            while (!m_order.empty())
                free(m_order.front());
        if (json_bool(body, "forget")) {
            m_incarnation = random_bits() >> 1U;
            m_slots.clear();
            m_by_key.clear();
            m_order.clear();
            m_used = 0;
        }
        return Json::Value(Json::objectValue);
    }

    Json::Value stats(const Json::Value&)
    {
        const std::lock_guard lock(m_mutex);
        Json::Value result;
        result["blocks"] = Json::UInt64(m_order.size());
        result["bytes"] = Json::UInt64(m_used);
        result["link_bytes"] = Json::UInt64(m_memory.bytes() + m_disk.bytes());
        result["writing"] = Json::UInt64(m_by_key.size() - m_order.size());
        return result;
    }

private:
    static void sleep_until(TimePoint time)
    {
        const Micros left = time - monotonic_now();
        if (left.count() > 0)
            std::this_thread::sleep_for(left);
    }

    Slot& slot_at(std::uint64_t number)
    {
        if (number >= m_slots.size())
            throw Error(ErrorCode::BlockGone, "no such slot");
        return m_slots[number];
    }

    BlockHandle handle(std::uint64_t number) const
    {
        if (number >= m_slots.size())
            return {};
        return {number, m_slots[number].generation, m_incarnation};
    }

    SealedBlock describe(std::uint64_t number) const
    {
        const Slot& slot = m_slots[number];
        return {slot.key, handle(number), slot.content, slot.bytes};
    }

    void touch(std::uint64_t number)
    {
        m_order.remove(number);
        m_order.push_back(number);
    }

    void free(std::uint64_t number)
    {
        Slot& slot = m_slots[number];
        slot.state = SlotState::Free;
        m_used -= slot.bytes;
        m_by_key.erase(slot.key);
        m_order.remove(number);
        m_free.push_back(number);
    }

    bool make_room(std::uint64_t bytes)
    {
        const std::uint64_t room =
            m_settings.memory_bytes + m_settings.disk_bytes;
        while (m_used + bytes > room && !m_order.empty())
            free(m_order.front());
        return m_used + bytes <= room;
    }

    std::uint64_t free_slot()
    {
        if (m_free.empty()) {
            m_slots.emplace_back();
            return m_slots.size() - 1;
        }
        const std::uint64_t number = m_free.back();
        m_free.pop_back();
        return number;
    }

    const StoreStandinSettings m_settings;
    std::mutex m_mutex;
    std::uint64_t m_incarnation;
    std::vector<Slot> m_slots;
    std::vector<std::uint64_t> m_free;
    std::unordered_map<Digest, std::uint64_t> m_by_key;
    std::list<std::uint64_t> m_order; ///< Sealed, least recent first.
    std::uint64_t m_used = 0;
    bool m_full = false;
    double m_slowdown = 1;
    Link m_memory;
    Link m_disk;
};

} // namespace

void
run_store(const StoreStandinSettings& settings)
{
    StoreState state(settings);
    StandinServer server;
    server.call("/blocks/lookup", state, &StoreState::lookup);
    server.call("/blocks/reserve", state, &StoreState::reserve);
    server.call("/blocks/write", state, &StoreState::write);
    server.call("/blocks/seal", state, &StoreState::seal);
    server.call("/blocks/abandon", state, &StoreState::abandon);
    server.call("/blocks/read", state, &StoreState::read);
    server.call("/blocks/verify", state, &StoreState::verify);
    server.call("/adjust", state, &StoreState::adjust);
    server.call("/stats", state, &StoreState::stats);
    server.start(settings.common);
    Json::Value instance;
    instance["kind"] = "store";
    server.announce(settings.common, instance);
    StandinServer::wait_for_signal();
}

} // namespace crosslink::standins
