#ifndef WAGTAILWIND_PLATFORM_KEY_VALUE_CODEC_H_
#define WAGTAILWIND_PLATFORM_KEY_VALUE_CODEC_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "platform/key_value_service.h"

namespace wagtailwind::platform {

namespace detail {
struct MalformedKeyValueAnswerTag {
  static constexpr const char* kName = "malformed_key_value_answer";
};
}  // namespace detail

/// \brief The service sent something that can't be read.
using MalformedKeyValueAnswer = wagtailwind::detail::NamedError<detail::MalformedKeyValueAnswerTag>;

/// \brief A key with its value, or the fact that it was deleted.
struct KeyValueItem {
  std::string key;
  std::string value;
  /// Of the write or the deletion.
  Revision revision = 0;
  bool deleted = false;
};

/// \brief A page of the keys with a prefix. Pages are read one after the other and are no snapshot.
struct RangePage {
  std::vector<KeyValueItem> items;
  bool has_more = false;
  /// Of the service when the page was read.
  Revision revision = 0;
};

/// \brief Changes of keys with a prefix.
struct WatchPage {
  std::vector<KeyValueItem> changes;
  /// Of the service when the watch ended.
  Revision revision = 0;
};

/// \brief Wire form of reads of the key-value service, for callers with an event loop of their own.
class KeyValueCodec {
 public:
  virtual ~KeyValueCodec() = default;

  /// \brief A request for the keys with a prefix that come after `after_key`.
  [[nodiscard]] virtual std::string RangeRequest(std::string_view prefix,
                                                 std::string_view after_key) const = 0;

  /// \brief A request that is answered once a key with the prefix has changed after `after`, or
  /// when the time is over.
  [[nodiscard]] virtual std::string WatchRequest(std::string_view prefix, Revision after,
                                                 std::chrono::milliseconds wait) const = 0;

  /// \brief Decodes the body of a successful answer. Throws MalformedKeyValueAnswer.
  [[nodiscard]] virtual RangePage DecodeRange(std::string_view body) const = 0;
  [[nodiscard]] virtual WatchPage DecodeWatch(std::string_view body) const = 0;
};

}  // namespace wagtailwind::platform

#endif  // WAGTAILWIND_PLATFORM_KEY_VALUE_CODEC_H_
