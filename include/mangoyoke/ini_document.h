// Validating INI reader: checks the type and range of each value and reports
// unknown keys.

#ifndef MANGOYOKE_INI_DOCUMENT_H_
#define MANGOYOKE_INI_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mangoyoke/error.h"

namespace mangoyoke {

// A line "key = value".
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;  // Line number, from 1.
};

// A section "[kind name]" or "[kind]"; `name` is empty for the latter.
struct IniSection {
  std::string kind;
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;
};

// The sections in the order of the text.
struct IniDocument {
  std::vector<IniSection> sections;
};

// Parses INI text. `file` stands for it in error details. Errors have the code
// `code`.
Result<IniDocument> ParseIni(const std::string& text,
                             const std::string& file,
                             ErrorCode code);

// Reads the keys of one section. An invalid value is not returned; instead, a
// problem with file, line, section, key and the expected value is appended to
// `problems`. Call ReportUnknownKeys() after all keys were read.
class IniSectionReader {
 public:
  // `section` and `problems` must outlive the reader.
  IniSectionReader(const IniSection& section,
                   std::string file,
                   std::vector<std::string>& problems);

  // Returns any text, or `fallback` if the key is missing.
  std::string Text(const std::string& key, const std::string& fallback);
  // Returns any text. A missing key or an empty value is a problem; the result
  // is then empty.
  std::string RequiredText(const std::string& key);
  // Returns a whole number in [minimum, maximum], or `fallback` if the key is
  // missing or its value invalid.
  int64_t Number(const std::string& key,
                 int64_t fallback,
                 int64_t minimum,
                 int64_t maximum);
  // Returns true for "yes" and false for "no".
  bool Flag(const std::string& key, bool fallback);
  // Returns one of `allowed`, or `fallback` if the key is missing or its value
  // invalid.
  std::string Choice(const std::string& key,
                     const std::string& fallback,
                     const std::vector<std::string>& allowed);
  // Returns the parts of a comma-separated list, without empty ones.
  std::vector<std::string> List(const std::string& key);
  // Reports each key of the section that was not read through this reader.
  void ReportUnknownKeys();

 private:
  const IniEntry* Find(const std::string& key);
  void Report(int line, const std::string& key, const std::string& expected);

  const IniSection& section_;
  std::string file_;
  std::vector<std::string>& problems_;
  std::vector<std::string> known_;
};

// Returns all problems as one error, or nothing if there are none.
std::optional<Error> JoinProblems(const std::vector<std::string>& problems,
                                  ErrorCode code);

}  // namespace mangoyoke

#endif  // MANGOYOKE_INI_DOCUMENT_H_
