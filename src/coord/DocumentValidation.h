/** \file
 * Validates the operators' configuration documents. The command line, the
 * daemon that accepts a document and every daemon that applies the log run the
 * same checks, so that all agree on which documents are valid.
 */
#pragma once

#include "base/Result.h"
#include "base/ValidationError.h"
#include "config.pb.h"

#include <string>
#include <vector>

namespace toucanshed {

/** Returns the errors in the document of a service; empty when it is valid.
 * \param aPath of the document, for the errors
 *
 * Thread safety: pure function. */
std::vector<ValidationError>
ValidateDocument(const config::ServiceDocument& aDocument,
                 const std::string& aPath);

/** Parses and validates a whole configuration file in JSON. A file with any
 * error is rejected as a whole.
 *
 * \code
 * const auto parsed = ParseConfiguration(text);
 * if (!parsed) { std::cerr << FormatValidationErrors(parsed.error()); }
 * \endcode
 *
 * Thread safety: pure function. */
tl::expected<config::ConfigurationDocument, std::vector<ValidationError>>
ParseConfiguration(const std::string& aJson);

} // namespace toucanshed
