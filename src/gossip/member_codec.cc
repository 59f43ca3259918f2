#include "gossip/member_codec.h"

#include <string>
#include <string_view>
#include <utility>

#include "settings/settings.h"

namespace wagtailwind::gossip {

namespace {

namespace schema = rpc::schema;

// Longest name of an instance, zone or pool; a longer one indicates a corrupt or malicious record.
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxModels = 64;

bool IsValidName(const std::string& text) noexcept {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

std::string Text(capnp::Text::Reader reader) { return {reader.begin(), reader.size()}; }

std::optional<EndpointAdvertisement> DecodeEndpoint(schema::EndpointRecord::Reader record) {
  EndpointAdvertisement endpoint{.endpoint = EndpointName(Text(record.getEndpoint())),
                                 .kind = static_cast<EndpointKind>(record.getKind()),
                                 .pool = ServiceName(Text(record.getPool())),
                                 .capacity = record.getCapacity(),
                                 .models = {}};
  if (!IsValidName(endpoint.endpoint.value()) || !IsValidName(endpoint.pool.value()) ||
      record.getKind() > static_cast<std::uint8_t>(EndpointKind::kService) ||
      record.getModels().size() > kMaxModels) {
    return std::nullopt;
  }
  for (const capnp::Text::Reader model : record.getModels()) {
    endpoint.models.emplace_back(Text(model));
    if (!IsValidName(endpoint.models.back().value())) {
      return std::nullopt;
    }
  }
  return endpoint;
}

void EncodeEndpoint(const EndpointAdvertisement& endpoint, schema::EndpointRecord::Builder record) {
  record.setEndpoint(endpoint.endpoint.value());
  record.setKind(static_cast<std::uint8_t>(endpoint.kind));
  record.setPool(endpoint.pool.value());
  record.setCapacity(endpoint.capacity);
  auto models = record.initModels(static_cast<unsigned>(endpoint.models.size()));
  for (unsigned i = 0; i < models.size(); ++i) {
    models.set(i, endpoint.models[i].value());
  }
}

bool IsPlausible(const Member& member) noexcept {
  return IsValidName(member.instance.value()) && IsValidName(member.zone.value()) &&
         IsValidName(member.region.value()) && member.incarnation != 0 &&
         settings::IsSocketAddress(member.rpc_address) &&
         settings::IsSocketAddress(member.gossip_address);
}

}  // namespace

void EncodeMember(const Member& member, schema::MemberRecord::Builder record) {
  record.setInstance(member.instance.value());
  record.setRole(static_cast<std::uint8_t>(member.role));
  record.setZone(member.zone.value());
  record.setRegion(member.region.value());
  record.setIncarnation(member.incarnation);
  record.setRpcAddress(member.rpc_address);
  record.setGossipAddress(member.gossip_address);
  record.setState(static_cast<std::uint8_t>(member.state));
  record.setStateNumber(member.state_number);
  if (member.endpoint.has_value()) {
    EncodeEndpoint(*member.endpoint, record.initEndpoint());
  }
}

std::optional<Member> DecodeMember(schema::MemberRecord::Reader record) {
  if (record.getRole() > static_cast<std::uint8_t>(Role::kAgent) ||
      record.getState() > static_cast<std::uint8_t>(MemberState::kDead)) {
    return std::nullopt;
  }
  Member member;
  member.instance = InstanceName(Text(record.getInstance()));
  member.role = static_cast<Role>(record.getRole());
  member.zone = AvailabilityZoneName(Text(record.getZone()));
  member.region = RegionName(Text(record.getRegion()));
  member.incarnation = record.getIncarnation();
  member.rpc_address = Text(record.getRpcAddress());
  member.gossip_address = Text(record.getGossipAddress());
  member.state = static_cast<MemberState>(record.getState());
  member.state_number = record.getStateNumber();
  if (!IsPlausible(member)) {
    return std::nullopt;
  }
  if (record.hasEndpoint()) {
    member.endpoint = DecodeEndpoint(record.getEndpoint());
    if (!member.endpoint.has_value()) {
      return std::nullopt;
    }
  }
  return member;
}

}  // namespace wagtailwind::gossip
