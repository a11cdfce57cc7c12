// Reads the configuration of a process from a YAML file.
//
// Errors are collected while the keys are read one by one, so that an operator
// sees all of them at once, each with file, line, key and allowed range.
//
//   Result<Config> loaded = Config::Load("entry.yaml");
//   Config& config = ValueOf(loaded);
//   const std::string name = config.Text("name");
//   const int64_t slots = config.Int("runner.slots", 1, 1024, 8);
//   Status status = config.Finish();  // Also reports unknown keys.
#ifndef BEAMHILL_CONFIG_CONFIG_H_
#define BEAMHILL_CONFIG_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/error.h"
#include "beamhill/base/time.h"
#include "beamhill/http/http_client.h"

namespace beamhill {

// Parses a whole number with the unit ms, s, min or h: "250ms", "20min".
Result<Duration> ParseDuration(const std::string& text);
// Parses an IPv4 address and a port: "127.0.0.1:7000".
Result<Address> ParseAddress(const std::string& text);
std::string ToString(const Address& address);

// Reads typed values by key and remembers which keys are known.
class Config {
 public:
  // Parses the file. The error kInvalidArgument says why it can't be read or
  // isn't a map.
  static Result<Config> Load(const std::string& file);
  Config(Config&&) noexcept;
  Config& operator=(Config&&) noexcept;
  ~Config();

  // These read the value at a path such as "table.address". A key without a
  // default is required. A missing or invalid value adds an error that Finish
  // returns; the result is then only a placeholder.
  std::string Text(const std::string& key,
                   std::optional<std::string> default_value = std::nullopt);
  int64_t Int(const std::string& key, int64_t low, int64_t high,
              std::optional<int64_t> default_value = std::nullopt);
  double Number(const std::string& key, double low, double high,
                std::optional<double> default_value = std::nullopt);
  Duration Time(const std::string& key, Duration low, Duration high,
                std::optional<Duration> default_value = std::nullopt);
  Address SocketAddress(const std::string& key,
                        std::optional<Address> default_value = std::nullopt);
  std::vector<Address> SocketAddressList(const std::string& key);
  // Optional: a missing key and one without a value are an empty list.
  std::vector<std::string> TextList(const std::string& key);

  bool Has(const std::string& key) const;
  // Adds an error about a key, for constraints that the caller checks.
  void AddError(const std::string& key, const std::string& text);

  // Returns one error that lists, one per line, all errors so far and all keys
  // of the file that were never read.
  Status Finish();

  // Returns every key that was read, with its value or default.
  const std::map<std::string, std::string>& effective() const;

 private:
  struct Impl;
  explicit Config(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace beamhill

#endif  // BEAMHILL_CONFIG_CONFIG_H_
