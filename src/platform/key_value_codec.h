#ifndef WAGTAILWIND_PLATFORM_KEY_VALUE_CODEC_H_
#define WAGTAILWIND_PLATFORM_KEY_VALUE_CODEC_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "http/message.h"
#include "platform/key_value_service.h"

namespace wagtailwind::platform {

namespace detail {
struct MalformedKeyValueAnswerTag {
  static constexpr const char* kName = "malformed_key_value_answer";
};
}  // namespace detail

/// \brief Thrown when a response of the service can't be decoded.
using MalformedKeyValueAnswer = wagtailwind::detail::NamedError<detail::MalformedKeyValueAnswerTag>;

/// \brief Number of a history of the service. It rises when the service comes back from an older
/// copy: writes since the copy are gone, and their revisions are given to other writes.
using Era = std::uint64_t;

/// \brief A key with its value, or the fact that it was deleted.
struct KeyValueItem {
  std::string key;
  std::string value;
  /// Revision of the write or the deletion.
  Revision revision = 0;
  bool deleted = false;
};

/// \brief One page of the keys with a prefix. Pages are read one after another and don't form a
/// consistent snapshot.
struct RangePage {
  std::vector<KeyValueItem> items;
  bool has_more = false;
  /// Revision of the service when the page was read.
  Revision revision = 0;
};

/// \brief Changes to the keys with a prefix.
struct WatchPage {
  std::vector<KeyValueItem> changes;
  /// Revision of the service when the watch ended.
  Revision revision = 0;
};

/// \brief A record to write.
struct KeyValueWrite {
  std::string key;
  std::string value;
};

/// \brief Encodes requests to the key-value service and decodes the responses, for callers that
/// run their own event loop.
class KeyValueCodec {
 public:
  virtual ~KeyValueCodec() = default;

  /// \brief Returns a request for the keys with a prefix that come after `after_key`.
  [[nodiscard]] virtual std::string RangeRequest(std::string_view prefix,
                                                 std::string_view after_key) const = 0;

  /// \brief Returns a request that the service answers when a key with the prefix changes after
  /// revision `after`, or when `wait` has elapsed.
  [[nodiscard]] virtual std::string WatchRequest(std::string_view prefix, Revision after,
                                                 std::chrono::milliseconds wait) const = 0;

  /// \brief Returns a request for a lease that ends after `lifetime` unless it is renewed.
  [[nodiscard]] virtual std::string LeaseRequest(std::chrono::milliseconds lifetime) const = 0;

  /// \brief Returns a request that writes records, all or none, which are removed when the lease
  /// ends. The service answers with status 404 if the lease has ended.
  [[nodiscard]] virtual std::string PutRequest(std::span<const KeyValueWrite> writes,
                                               LeaseId lease) const = 0;

  /// \brief Returns the era from the headers of a response of any status; empty if they do not name
  /// it.
  [[nodiscard]] virtual std::optional<Era> DecodeEra(
      const std::vector<http::Header>& headers) const = 0;

  /// \brief Decodes the body of a successful response to a request for a lease. Throws
  /// MalformedKeyValueAnswer.
  [[nodiscard]] virtual LeaseId DecodeLease(std::string_view body) const = 0;

  /// \brief Decodes the body of a successful range response. Throws MalformedKeyValueAnswer.
  [[nodiscard]] virtual RangePage DecodeRange(std::string_view body) const = 0;

  /// \brief Decodes the body of a successful watch response. Throws MalformedKeyValueAnswer.
  [[nodiscard]] virtual WatchPage DecodeWatch(std::string_view body) const = 0;
};

}  // namespace wagtailwind::platform

#endif  // WAGTAILWIND_PLATFORM_KEY_VALUE_CODEC_H_
