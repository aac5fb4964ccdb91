// Checked reading of INI text: every key is typed, bounded and accounted for.

#ifndef MANGOYOKE_INI_DOCUMENT_H_
#define MANGOYOKE_INI_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mangoyoke/error.h"

namespace mangoyoke {

struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;  // From 1.
};

// A section "[kind name]" or "[kind]".
struct IniSection {
  std::string kind;
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;
};

struct IniDocument {
  std::vector<IniSection> sections;
};

// Parses INI text. `file` names it in errors. Errors use `code`.
Result<IniDocument> ParseIni(const std::string& text,
                             const std::string& file,
                             ErrorCode code);

// Reads the keys of one section. Problems are collected, each with file,
// line, key and what was expected; ReportUnknownKeys() adds the keys nobody
// asked for.
class IniSectionReader {
 public:
  // `section` and `problems` must outlive the reader.
  IniSectionReader(const IniSection& section,
                   std::string file,
                   std::vector<std::string>& problems);

  std::string Text(const std::string& key, const std::string& fallback);
  std::string RequiredText(const std::string& key);
  // A whole number in [minimum, maximum].
  int64_t Number(const std::string& key,
                 int64_t fallback,
                 int64_t minimum,
                 int64_t maximum);
  // "yes" or "no".
  bool Flag(const std::string& key, bool fallback);
  // One of `allowed`.
  std::string Choice(const std::string& key,
                     const std::string& fallback,
                     const std::vector<std::string>& allowed);
  // Comma-separated; empty parts are dropped.
  std::vector<std::string> List(const std::string& key);
  void ReportUnknownKeys();

 private:
  const IniEntry* Find(const std::string& key);
  void Report(int line, const std::string& key, const std::string& expected);

  const IniSection& section_;
  std::string file_;
  std::vector<std::string>& problems_;
  std::vector<std::string> known_;
};

// The problems as one error, or nothing.
std::optional<Error> JoinProblems(const std::vector<std::string>& problems,
                                  ErrorCode code);

}  // namespace mangoyoke

#endif  // MANGOYOKE_INI_DOCUMENT_H_
