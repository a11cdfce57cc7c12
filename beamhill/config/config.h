// A process's own settings, read from a YAML file at its start.
//
// Keys are read one by one, and every fault is collected, so that an operator
// sees all of them at once, each with file, line, key and allowed range.
//
//   Result<Config> loaded = Config::Load("entry.yaml");
//   Config& config = ValueOf(loaded);
//   const std::string name = config.Text("name");
//   const int64_t slots = config.Int("runner.slots", 1, 1024, 8);
//   Status status = config.Finish();   // also names unknown keys
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

// "250ms", "2s", "20min" or "1h".
Result<Duration> ParseDuration(const std::string& text);
// "127.0.0.1:7000".
Result<Address> ParseAddress(const std::string& text);
std::string ToString(const Address& address);

class Config {
 public:
  static Result<Config> Load(const std::string& file);
  Config(Config&&) noexcept;
  Config& operator=(Config&&) noexcept;
  ~Config();

  // A key is a path such as "table.address". Without a default the key is
  // required. After a fault an arbitrary allowed value is returned.
  std::string Text(const std::string& key,
                   std::optional<std::string> default_value = std::nullopt);
  int64_t Int(const std::string& key, int64_t low, int64_t high,
              std::optional<int64_t> default_value = std::nullopt);
  double Number(const std::string& key, double low, double high,
                std::optional<double> default_value = std::nullopt);
  Duration Time(const std::string& key, Duration low, Duration high,
                std::optional<Duration> default_value = std::nullopt);
  Address Ip(const std::string& key,
             std::optional<Address> default_value = std::nullopt);
  std::vector<Address> IpList(const std::string& key);

  bool Has(const std::string& key) const;
  // Adds a fault of the caller's own about a key.
  void AddError(const std::string& key, const std::string& text);

  // Ok, or one error that lists every fault, a line each.
  Status Finish();

  // Every key that was read, with the value in force.
  const std::map<std::string, std::string>& effective() const;

 private:
  struct Impl;
  explicit Config(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace beamhill

#endif  // BEAMHILL_CONFIG_CONFIG_H_
