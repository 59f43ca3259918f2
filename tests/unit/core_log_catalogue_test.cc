#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <string>

// Included last: its macros break Abseil's headers.
#include <criterion/criterion.h>

namespace {

/// Maps an event number to "<level> <name>".
using Catalogue = std::map<int, std::string>;

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// Adds each match of a pattern with the groups number, level and name to the catalogue. Fails the
/// test if a number occurs twice.
void CollectEvents(const std::string& text, const std::regex& pattern, Catalogue& catalogue) {
  for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
    std::string level = (*match)[2];
    level[0] = static_cast<char>(std::tolower(static_cast<unsigned char>(level[0])));
    const bool is_new =
        catalogue.emplace(std::stoi((*match)[1]), level + " " + (*match)[3].str()).second;
    cr_assert(is_new, "event %s is defined twice", (*match)[1].str().c_str());
  }
}

}  // namespace

// Guards against log events that are missing from the operators' documentation, and against two
// events with the same number.
Test(log_catalogue, code_and_page_list_the_same_events) {
  const std::filesystem::path root(WAGTAILWIND_SOURCE_DIR);
  Catalogue code;
  const std::regex definition(R"re(LogEvent k\w+\{(\d+),\s*LogLevel::k(\w+),\s*"(\w+)"\})re");
  for (const auto& entry : std::filesystem::recursive_directory_iterator(root / "src")) {
    if (entry.path().filename() == "log_events.h") {
      CollectEvents(ReadFile(entry.path()), definition, code);
    }
  }
  Catalogue page;
  CollectEvents(ReadFile(root / "docs" / "log-events.md"),
                std::regex(R"(\| (\d+) \| (\w+) \| (\w+) \|)"), page);
  cr_assert_gt(code.size(), 50);
  for (const auto& [number, event] : code) {
    cr_assert(page.contains(number), "event %d is not on the page", number);
    cr_assert_eq(page.at(number), event, "event %d differs from the page", number);
  }
  cr_assert_eq(page.size(), code.size(), "the page has events that the code does not have");
}
