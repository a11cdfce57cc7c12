#include "beamhill/config/config.h"

#include <arpa/inet.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <set>
#include <sstream>
#include <utility>

namespace beamhill {
namespace {

std::vector<std::string> SplitKey(const std::string& key) {
  std::vector<std::string> parts;
  std::istringstream in(key);
  for (std::string part; std::getline(in, part, '.');) parts.push_back(part);
  return parts;
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) return {};
  return value;
}

std::string DurationText(Duration d) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) +
         "ms";
}

}  // namespace

Result<Duration> ParseDuration(const std::string& text) {
  const Error error{ErrorCode::kInvalidArgument,
                    "invalid duration: '" + text + "'",
                    "write a whole number and ms, s, min or h, such as 250ms"};
  const size_t unit_at = text.find_first_not_of("0123456789");
  if (unit_at == std::string::npos || unit_at == 0) return error;
  const auto count = ParseNumber<int64_t>(text.substr(0, unit_at));
  if (!count || *count > 1'000'000'000) return error;
  const std::string unit = text.substr(unit_at);
  if (unit == "ms") return Duration(std::chrono::milliseconds(*count));
  if (unit == "s") return Duration(std::chrono::seconds(*count));
  if (unit == "min") return Duration(std::chrono::minutes(*count));
  if (unit == "h") return Duration(std::chrono::hours(*count));
  return error;
}

Result<Address> ParseAddress(const std::string& text) {
  const Error error{ErrorCode::kInvalidArgument,
                    "invalid address: '" + text + "'",
                    "write an IPv4 address and a port, such as 10.0.0.7:7000"};
  const size_t colon = text.find(':');
  if (colon == std::string::npos) return error;
  const std::string ip = text.substr(0, colon);
  in_addr parsed{};
  const auto port = ParseNumber<uint16_t>(text.substr(colon + 1));
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1 || !port) return error;
  return Address{ip, *port};
}

std::string ToString(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

struct Config::Impl {
  std::string file;
  YAML::Node root;
  std::map<std::string, std::string> effective;
  std::vector<std::string> errors;
  std::set<std::string> known;

  // Returns the node at `key`, which may be undefined, and marks the key as
  // known.
  YAML::Node Find(const std::string& key) {
    known.insert(key);
    YAML::Node node = YAML::Clone(root);
    node.reset(root);
    for (const std::string& part : SplitKey(key)) {
      if (!node.IsMap()) return YAML::Node(YAML::NodeType::Undefined);
      const YAML::Node child = node[part];
      if (!child.IsDefined()) return YAML::Node(YAML::NodeType::Undefined);
      node.reset(child);
    }
    return node;
  }

  // Adds an error with the line of `node`, or without one if it is undefined.
  void AddError(const std::string& key, const YAML::Node& node,
                const std::string& text) {
    const int line = node.IsDefined() ? node.Mark().line + 1 : 0;
    const std::string where =
        line > 0 ? file + ":" + std::to_string(line) : file;
    errors.push_back(where + ": " + key + ": " + text);
  }

  // Returns the text of the scalar at `key`. Returns nothing if the key is
  // missing, or after adding an error.
  std::optional<std::string> Scalar(const std::string& key, bool required) {
    const YAML::Node node = Find(key);
    if (!node.IsDefined()) {
      if (required) AddError(key, node, "missing");
      return std::nullopt;
    }
    if (!node.IsScalar()) {
      AddError(key, node, "must be a scalar, not a list or a map");
      return std::nullopt;
    }
    return node.Scalar();
  }

  // Adds an error for each key at or below `node` that was never read. A map is
  // known if a key below it was read.
  void FindUnknownKeys(const YAML::Node& node, const std::string& prefix) {
    for (const auto& child : node) {
      const std::string key = prefix.empty()
                                  ? child.first.Scalar()
                                  : prefix + "." + child.first.Scalar();
      if (known.count(key) > 0) continue;
      const auto below = known.lower_bound(key + ".");
      const bool is_prefix = below != known.end() &&
                             below->compare(0, key.size() + 1, key + ".") == 0;
      if (is_prefix && child.second.IsMap()) {
        FindUnknownKeys(child.second, key);
      } else {
        AddError(key, child.first, "unknown key");
      }
    }
  }
};

Result<Config> Config::Load(const std::string& file) {
  auto impl = std::make_unique<Impl>();
  impl->file = file;
  try {
    impl->root = YAML::LoadFile(file);
  } catch (const YAML::Exception& e) {
    return Error{ErrorCode::kInvalidArgument, file + ": " + e.what(),
                 "check that the file exists and is valid YAML"};
  }
  if (!impl->root.IsMap()) {
    return Error{ErrorCode::kInvalidArgument,
                 file + ": the top level must be a map of settings",
                 "see the files under examples/"};
  }
  return Config(std::move(impl));
}

Config::Config(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Config::Config(Config&&) noexcept = default;
Config& Config::operator=(Config&&) noexcept = default;
Config::~Config() = default;

std::string Config::Text(const std::string& key,
                         std::optional<std::string> default_value) {
  const auto text = impl_->Scalar(key, !default_value);
  const std::string value = text.value_or(default_value.value_or(""));
  impl_->effective[key] = value;
  return value;
}

int64_t Config::Int(const std::string& key, int64_t low, int64_t high,
                    std::optional<int64_t> default_value) {
  const auto text = impl_->Scalar(key, !default_value);
  int64_t value = default_value.value_or(low);
  if (text) {
    const auto parsed = ParseNumber<int64_t>(*text);
    if (!parsed || *parsed < low || *parsed > high) {
      AddError(key, "'" + *text + "' is not a whole number from " +
                        std::to_string(low) + " to " + std::to_string(high));
    } else {
      value = *parsed;
    }
  }
  impl_->effective[key] = std::to_string(value);
  return value;
}

double Config::Number(const std::string& key, double low, double high,
                      std::optional<double> default_value) {
  const auto text = impl_->Scalar(key, !default_value);
  double value = default_value.value_or(low);
  if (text) {
    const auto parsed = ParseNumber<double>(*text);
    if (!parsed || !(*parsed >= low && *parsed <= high)) {
      std::ostringstream message;
      message << "'" << *text << "' is not a number from " << low << " to "
              << high;
      AddError(key, message.str());
    } else {
      value = *parsed;
    }
  }
  std::ostringstream formatted;
  formatted << value;
  impl_->effective[key] = formatted.str();
  return value;
}

Duration Config::Time(const std::string& key, Duration low, Duration high,
                      std::optional<Duration> default_value) {
  const auto text = impl_->Scalar(key, !default_value);
  Duration value = default_value.value_or(low);
  if (text) {
    const Result<Duration> parsed = ParseDuration(*text);
    if (!IsOk(parsed) || ValueOf(parsed) < low || ValueOf(parsed) > high) {
      AddError(key, "'" + *text + "' is not a duration from " +
                        DurationText(low) + " to " + DurationText(high));
    } else {
      value = ValueOf(parsed);
    }
  }
  impl_->effective[key] = DurationText(value);
  return value;
}

Address Config::SocketAddress(const std::string& key,
                              std::optional<Address> default_value) {
  const auto text = impl_->Scalar(key, !default_value);
  Address value = default_value.value_or(Address{"127.0.0.1", 0});
  if (text) {
    const Result<Address> parsed = ParseAddress(*text);
    if (IsOk(parsed)) {
      value = ValueOf(parsed);
    } else {
      AddError(key, ErrorOf(parsed).message + "; " + ErrorOf(parsed).action);
    }
  }
  impl_->effective[key] = ToString(value);
  return value;
}

std::vector<Address> Config::SocketAddressList(const std::string& key) {
  std::vector<Address> addresses;
  const YAML::Node node = impl_->Find(key);
  if (!node.IsDefined() || !node.IsSequence() || node.size() == 0) {
    AddError(key, "must be a list of addresses, such as [10.0.0.7:7000]");
    return addresses;
  }
  std::string all;
  for (const YAML::Node& item : node) {
    const Result<Address> parsed =
        ParseAddress(item.IsScalar() ? item.Scalar() : "");
    if (!IsOk(parsed)) {
      impl_->AddError(key, item,
                      ErrorOf(parsed).message + "; " + ErrorOf(parsed).action);
      continue;
    }
    addresses.push_back(ValueOf(parsed));
    all += (all.empty() ? "" : ", ") + ToString(ValueOf(parsed));
  }
  impl_->effective[key] = all;
  return addresses;
}

std::vector<std::string> Config::TextList(const std::string& key) {
  std::vector<std::string> texts;
  const YAML::Node node = impl_->Find(key);
  std::string all;
  if (node.IsDefined() && !node.IsNull()) {
    if (!node.IsSequence()) {
      AddError(key, "must be a list, such as [first, second]");
      return texts;
    }
    for (const YAML::Node& item : node) {
      if (!item.IsScalar()) {
        impl_->AddError(key, item, "must be a list of scalars");
        continue;
      }
      texts.push_back(item.Scalar());
      all += (all.empty() ? "" : ", ") + item.Scalar();
    }
  }
  impl_->effective[key] = all;
  return texts;
}

bool Config::Has(const std::string& key) const {
  return impl_->Find(key).IsDefined();
}

void Config::AddError(const std::string& key, const std::string& text) {
  impl_->AddError(key, impl_->Find(key), text);
}

Status Config::Finish() {
  impl_->FindUnknownKeys(impl_->root, "");
  if (impl_->errors.empty()) return Ok{};
  std::string all;
  for (const std::string& error : impl_->errors) all += error + "\n";
  return Error{ErrorCode::kInvalidArgument, all,
               "correct the settings; --check validates them without starting"};
}

const std::map<std::string, std::string>& Config::effective() const {
  return impl_->effective;
}

}  // namespace beamhill
