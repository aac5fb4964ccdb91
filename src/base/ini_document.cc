// Implementation of the checked INI reader on Boost.PropertyTree.

#include "mangoyoke/ini_document.h"

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <sstream>
#include <unordered_map>

namespace mangoyoke {
namespace {

namespace property_tree = boost::property_tree;

// Line numbers of sections and keys, which the parser does not report. Lines
// count from 1.
class LineIndex {
 public:
  explicit LineIndex(const std::string& text) {
    boost::split(lines_, text, boost::is_any_of("\n"));
    for (size_t i = 0; i < lines_.size(); ++i) {
      std::string& line = lines_[i];
      boost::trim(line);
      if (line.size() > 2 && line.front() == '[' && line.back() == ']') {
        std::string header = boost::trim_copy(line.substr(1, line.size() - 2));
        section_headers_.push_back(header);
        section_lines_.emplace(header, static_cast<int>(i) + 1);
      }
    }
  }

  // The text between the brackets of all section lines, in order.
  const std::vector<std::string>& SectionHeaders() const {
    return section_headers_;
  }

  // The line of the first section with this header; 0 if there is none.
  int SectionLine(const std::string& header) const {
    auto it = section_lines_.find(header);
    return it == section_lines_.end() ? 0 : it->second;
  }

  // The line of `key` in the section that starts at `section_line`; if there is
  // no such key, `section_line`. Line 0 stands for the start of the file.
  int KeyLine(int section_line, const std::string& key) const {
    for (size_t i = static_cast<size_t>(section_line); i < lines_.size(); ++i) {
      const std::string& line = lines_[i];
      if (!line.empty() && line.front() == '[') {
        break;
      }
      if (boost::trim_copy(line.substr(0, line.find('='))) == key) {
        return static_cast<int>(i) + 1;
      }
    }
    return section_line;
  }

 private:
  std::vector<std::string> lines_;
  std::vector<std::string> section_headers_;
  std::unordered_map<std::string, int> section_lines_;
};

IniSection ConvertSection(const std::string& header,
                          const property_tree::ptree& tree,
                          const LineIndex& lines) {
  IniSection section;
  size_t space = header.find(' ');
  section.kind = header.substr(0, space);
  if (space != std::string::npos) {
    section.name = boost::trim_copy(header.substr(space + 1));
  }
  section.line = lines.SectionLine(header);
  for (const auto& [key, value] : tree) {
    section.entries.push_back(
        IniEntry{key, value.data(), lines.KeyLine(section.line, key)});
  }
  return section;
}

}  // namespace

Result<IniDocument> ParseIni(const std::string& text,
                             const std::string& file,
                             ErrorCode code) {
  property_tree::ptree tree;
  std::istringstream input(text);
  try {
    property_tree::read_ini(input, tree);
  } catch (const property_tree::ini_parser_error& error) {
    return Error{code, file + ":" + std::to_string(error.line()) + ": " +
                           error.message()};
  }
  LineIndex lines(text);
  IniDocument document;
  for (const auto& [header, section] : tree) {
    if (section.empty() && !section.data().empty()) {
      return Error{code, file + ":" + std::to_string(lines.KeyLine(0, header)) +
                             ": " + header +
                             ": expected a [section] line before this key"};
    }
  }
  // The parser drops sections without keys. They are valid: all their keys take
  // their defaults.
  for (const std::string& header : lines.SectionHeaders()) {
    auto section = tree.find(header);
    document.sections.push_back(ConvertSection(
        header,
        section == tree.not_found() ? property_tree::ptree() : section->second,
        lines));
  }
  return document;
}

IniSectionReader::IniSectionReader(const IniSection& section,
                                   std::string file,
                                   std::vector<std::string>& problems)
    : section_(section), file_(std::move(file)), problems_(problems) {}

const IniEntry* IniSectionReader::Find(const std::string& key) {
  known_.push_back(key);
  for (const IniEntry& entry : section_.entries) {
    if (entry.key == key) {
      return &entry;
    }
  }
  return nullptr;
}

void IniSectionReader::Report(int line,
                              const std::string& key,
                              const std::string& expected) {
  std::string header = section_.kind;
  if (!section_.name.empty()) {
    header += " " + section_.name;
  }
  problems_.push_back(file_ + ":" + std::to_string(line) + ": [" + header +
                      "] " + key + ": " + expected);
}

std::string IniSectionReader::Text(const std::string& key,
                                   const std::string& fallback) {
  const IniEntry* entry = Find(key);
  return entry != nullptr ? entry->value : fallback;
}

std::string IniSectionReader::RequiredText(const std::string& key) {
  const IniEntry* entry = Find(key);
  if (entry == nullptr || entry->value.empty()) {
    Report(section_.line, key, "expected a value: this key is required");
    return "";
  }
  return entry->value;
}

int64_t IniSectionReader::Number(const std::string& key,
                                 int64_t fallback,
                                 int64_t minimum,
                                 int64_t maximum) {
  const IniEntry* entry = Find(key);
  if (entry == nullptr) {
    return fallback;
  }
  int64_t number = 0;
  const std::string& text = entry->value;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  bool valid_number = error == std::errc() && end == text.data() + text.size();
  if (!valid_number || number < minimum || number > maximum) {
    Report(entry->line, key,
           "expected a whole number from " + std::to_string(minimum) + " to " +
               std::to_string(maximum) + " without a unit, got \"" + text +
               "\"");
    return fallback;
  }
  return number;
}

bool IniSectionReader::Flag(const std::string& key, bool fallback) {
  return Choice(key, fallback ? "yes" : "no", {"yes", "no"}) == "yes";
}

std::string IniSectionReader::Choice(const std::string& key,
                                     const std::string& fallback,
                                     const std::vector<std::string>& allowed) {
  const IniEntry* entry = Find(key);
  if (entry == nullptr) {
    return fallback;
  }
  if (std::find(allowed.begin(), allowed.end(), entry->value) ==
      allowed.end()) {
    std::string expected = "expected one of";
    for (const std::string& value : allowed) {
      expected += " " + value;
    }
    Report(entry->line, key, expected + ", got \"" + entry->value + "\"");
    return fallback;
  }
  return entry->value;
}

std::vector<std::string> IniSectionReader::List(const std::string& key) {
  const IniEntry* entry = Find(key);
  std::vector<std::string> parts;
  if (entry == nullptr) {
    return parts;
  }
  boost::split(parts, entry->value, boost::is_any_of(","));
  for (std::string& part : parts) {
    boost::trim(part);
  }
  std::erase(parts, "");
  return parts;
}

void IniSectionReader::ReportUnknownKeys() {
  for (const IniEntry& entry : section_.entries) {
    if (std::find(known_.begin(), known_.end(), entry.key) == known_.end()) {
      Report(entry.line, entry.key, "unknown key");
    }
  }
}

std::optional<Error> JoinProblems(const std::vector<std::string>& problems,
                                  ErrorCode code) {
  if (problems.empty()) {
    return std::nullopt;
  }
  std::string joined;
  for (const std::string& problem : problems) {
    joined += joined.empty() ? problem : "\n" + problem;
  }
  return Error{code, joined};
}

}  // namespace mangoyoke
