#ifndef WAGTAILWIND_ENDPOINT_EASY_TRANSFER_H_
#define WAGTAILWIND_ENDPOINT_EASY_TRANSFER_H_

#include <memory>
#include <string>
#include <vector>

#include "endpoint/transfer_loop.h"

namespace wagtailwind::endpoint::detail {

/// \brief Owns one libcurl easy handle with its request and receiver. Lives on the loop's thread.
class EasyTransfer {
 public:
  EasyTransfer(TransferRequest request, std::shared_ptr<TransferReceiver> receiver);
  ~EasyTransfer();
  EasyTransfer(const EasyTransfer&) = delete;
  EasyTransfer& operator=(const EasyTransfer&) = delete;

  /// \brief Returns the libcurl handle (a CURL*).
  [[nodiscard]] void* Handle() const noexcept { return m_easy; }

  /// \brief Reports the end of the transfer to the receiver; `code` is a CURLcode.
  void Finish(int code);
  void FinishCancelled();

 private:
  static std::size_t OnHeaderLine(char* data, std::size_t size, std::size_t count, void* closure);
  static std::size_t OnBodyBytes(char* data, std::size_t size, std::size_t count, void* closure);

  void Configure();
  void ConfigureHeaders();
  [[nodiscard]] bool ReadHeaderLine(std::string_view line);
  [[nodiscard]] bool OnHeadComplete();
  [[nodiscard]] bool ReadBody(std::string_view data);
  [[nodiscard]] bool WasConnected() const;
  [[nodiscard]] TransferEnd Classify(int code) const;

  TransferRequest m_request;
  std::shared_ptr<TransferReceiver> m_receiver;
  void* m_easy;
  void* m_header_list = nullptr;
  std::vector<http::Header> m_headers;
  std::size_t m_header_bytes = 0;
  std::size_t m_body_bytes = 0;
  bool m_head_received = false;
  /// Why a callback stopped the transfer; kComplete if none did.
  TransferEnd m_rejection = TransferEnd::kComplete;
};

}  // namespace wagtailwind::endpoint::detail

#endif  // WAGTAILWIND_ENDPOINT_EASY_TRANSFER_H_
