/** @file record_func.h Parsing, formatting and querying cell records. */
#ifndef RECORD_FUNC_H
#define RECORD_FUNC_H

#include "record_base.h"

#include <string_view>

namespace quetzalspool {

/**
 * Formats a record as the JSON text that is kept in the store.
 * @param record Record.
 * @return JSON text.
 */
std::string formatRecord(const cell_record &record);

/**
 * Parses a record from JSON text.
 * @param text JSON text.
 * @param why Receives the reason if the text is not a valid record.
 * @return The record, or nothing.
 */
std::optional<cell_record> parseRecord(std::string_view text, last_reason &why);

/**
 * Finds a member by its instance.
 * @param record Record.
 * @param id Instance.
 * @return The member, or null.
 */
const cell_member *findMember(const cell_record &record, const instance_id &id);

/** @copydoc findMember(const cell_record &, const instance_id &) */
cell_member *findMember(cell_record &record, const instance_id &id);

/**
 * Finds a voter by its instance.
 * @param voters Set of voters.
 * @param id Instance.
 * @return The voter, or null.
 */
const cell_voter *findVoter(const std::vector<cell_voter> &voters, const instance_id &id);

/** @copydoc findVoter(const std::vector<cell_voter> &, const instance_id &) */
cell_voter *findVoter(std::vector<cell_voter> &voters, const instance_id &id);

/**
 * Lists the current and the previous voters, each once.
 * @param record Record.
 * @return Voters, the current ones first.
 */
std::vector<cell_voter> allVoters(const cell_record &record);

/**
 * Computes the size of a majority.
 * @param voters Number of voters.
 * @return Smallest number that is more than half.
 */
constexpr std::size_t majorityOf(std::size_t voters)
{
    return voters / 2 + 1;
}

} // namespace quetzalspool

#endif // RECORD_FUNC_H
