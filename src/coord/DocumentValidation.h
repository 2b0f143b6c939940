/** \file
 * Checks the operators' configuration documents. The same checks run in the
 * command line, in the daemon that accepts a document, and in every daemon's
 * fold of the log, so that all agree on what is valid.
 */
#pragma once

#include "base/Result.h"
#include "base/ValidationError.h"
#include "config.pb.h"

#include <string>
#include <vector>

namespace toucanshed {

/** What is wrong with one service's document; empty when it is valid.
 * \param aPath where the document stands, for the complaints. Thread safety:
 * pure function. */
std::vector<ValidationError>
ValidateDocument(const config::ServiceDocument& aDocument,
                 const std::string& aPath);

/** Parses and checks a whole configuration file in JSON. Nothing of a file
 * with a complaint is used.
 *
 * \code
 * const auto parsed = ParseConfiguration(text);
 * if (!parsed) { std::cerr << Describe(parsed.error()); }
 * \endcode
 *
 * Thread safety: pure function. */
tl::expected<config::ConfigurationDocument, std::vector<ValidationError>>
ParseConfiguration(const std::string& aJson);

} // namespace toucanshed
