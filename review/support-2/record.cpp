#include "record.hpp"

#include <cstdio>
#include <mutex>

#include "http.hpp"

namespace review {

namespace {
std::FILE* g_file = nullptr;
std::mutex g_mutex;
}  // namespace

void OpenRecord(const std::string& path) { g_file = std::fopen(path.c_str(), "w"); }

void Record(const std::string& line) {
  const std::lock_guard lock(g_mutex);
  if (g_file != nullptr) {
    std::fprintf(g_file, "%9.3f %s\n", NowMs() / 1000, line.c_str());
    std::fflush(g_file);
  }
}

}  // namespace review
