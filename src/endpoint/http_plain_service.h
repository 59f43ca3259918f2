#ifndef WAGTAILWIND_ENDPOINT_HTTP_PLAIN_SERVICE_H_
#define WAGTAILWIND_ENDPOINT_HTTP_PLAIN_SERVICE_H_

#include <cstddef>
#include <functional>
#include <string>

#include "endpoint/plain_service.h"
#include "endpoint/transfer_loop.h"

namespace wagtailwind::endpoint {

/// \brief Client of a plain service with an HTTP interface.
class HttpPlainService final : public PlainService {
 public:
  /// \brief Sends calls to `address`, given as `ip:port`. The loop must outlive this object.
  HttpPlainService(std::string address, TransferLoop& loop,
                   std::size_t max_answer_bytes = std::size_t{1} << 20U);

  void Send(ServiceCall call, std::function<void(ServiceAnswer)> done) override;

 private:
  std::string m_address;
  TransferLoop& m_loop;
  std::size_t m_max_answer_bytes;
};

}  // namespace wagtailwind::endpoint

#endif  // WAGTAILWIND_ENDPOINT_HTTP_PLAIN_SERVICE_H_
