// Converts plain structures to and from CBOR. A structure is an array of its
// fields in a fixed order, which a `FieldList` defines for both directions.
//
//   struct MyFields {
//     template <typename T> static auto Of(T& v) { return std::tie(v.a); }
//   };
//   Json json = CborFields<MyFields>::To(value);
#ifndef BEAMHILL_MESSAGES_INTERNAL_CBOR_FIELDS_H_
#define BEAMHILL_MESSAGES_INTERNAL_CBOR_FIELDS_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

#include "beamhill/base/time.h"

namespace beamhill::messages_internal {

using Json = nlohmann::json;

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};

template <typename T>
struct IsDuration : std::false_type {};
template <typename Rep, typename Period>
struct IsDuration<std::chrono::duration<Rep, Period>> : std::true_type {};

// Minimum number of fields of an encoded structure. A stored structure may have
// been written by an earlier version of the program. If fields were added to it
// since, its member `kFieldsAtFirst` is the number of its original fields, and
// those after them may be missing. Without that member, all fields are
// required.
template <typename T, typename = void>
struct MinFieldCount {
  static constexpr size_t Of(size_t all) { return all; }
};
template <typename T>
struct MinFieldCount<T, std::void_t<decltype(T::kFieldsAtFirst)>> {
  static constexpr size_t Of(size_t /*all*/) { return T::kFieldsAtFirst; }
};

template <typename T>
constexpr bool kIsPair = std::is_same_v<T, std::pair<std::string, std::string>>;

// Returns a discarded value for malformed bytes. The library throws on an
// impossible container size even if exceptions are disabled.
inline Json ParseCbor(std::string_view bytes) {
  try {
    return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  } catch (const Json::exception&) {
    return Json(Json::value_t::discarded);
  }
}

// Conversion functions for the structures that `FieldList` covers. From()
// returns false if the value has another type or number of fields.
template <typename FieldList>
struct CborFields {
  // Strings are CBOR byte strings, since callers' bodies need not be UTF-8.
  static Json To(const std::string& v) {
    return Json::binary(std::vector<uint8_t>(v.begin(), v.end()));
  }

  template <typename T>
  static Json To(const T& v) {
    if constexpr (std::is_arithmetic_v<T>) {
      return v;
    } else if constexpr (std::is_enum_v<T>) {
      return static_cast<std::underlying_type_t<T>>(v);
    } else if constexpr (IsDuration<T>::value) {
      return v.count();
    } else if constexpr (std::is_same_v<T, TimePoint>) {
      return v.time_since_epoch().count();
    } else if constexpr (kIsPair<T>) {
      return Json::array({To(v.first), To(v.second)});
    } else if constexpr (IsVector<T>::value) {
      Json array = Json::array();
      for (const auto& item : v) array.push_back(To(item));
      return array;
    } else {
      Json array = ToArray(v);
      // Fields that were added are left out while they have their default
      // value, so that earlier versions of the program can read the structure.
      const size_t min_count = MinFieldCount<T>::Of(array.size());
      if (min_count == array.size()) return array;
      static const Json kDefaults = ToArray(T());
      while (array.size() > min_count &&
             array.back() == kDefaults[array.size() - 1]) {
        array.erase(array.size() - 1);
      }
      return array;
    }
  }

  // Returns all fields of the structure.
  template <typename T>
  static Json ToArray(const T& v) {
    Json array = Json::array();
    std::apply(
        [&array](const auto&... field) { (array.push_back(To(field)), ...); },
        FieldList::Of(v));
    return array;
  }

  static bool From(const Json& json, std::string* v) {
    if (!json.is_binary()) return false;
    const Json::binary_t& bytes = json.get_binary();
    v->assign(bytes.begin(), bytes.end());
    return true;
  }

  // Reads containers element by element, so that a forged size can't make the
  // reader reserve memory.
  template <typename T>
  static bool From(const Json& json, T* v) {
    if constexpr (std::is_same_v<T, bool>) {
      if (!json.is_boolean()) return false;
      *v = json.get<bool>();
      return true;
    } else if constexpr (std::is_integral_v<T>) {
      if (!json.is_number_integer()) return false;
      *v = json.get<T>();
      return true;
    } else if constexpr (std::is_floating_point_v<T>) {
      if (!json.is_number()) return false;
      *v = json.get<T>();
      return true;
    } else if constexpr (std::is_enum_v<T>) {
      if (!json.is_number_integer()) return false;
      *v = static_cast<T>(json.get<std::underlying_type_t<T>>());
      return true;
    } else if constexpr (IsDuration<T>::value) {
      if (!json.is_number_integer()) return false;
      *v = T(json.get<typename T::rep>());
      return true;
    } else if constexpr (std::is_same_v<T, TimePoint>) {
      if (!json.is_number_integer()) return false;
      *v = TimePoint(Duration(json.get<Duration::rep>()));
      return true;
    } else if constexpr (kIsPair<T>) {
      return json.is_array() && json.size() == 2 && From(json[0], &v->first) &&
             From(json[1], &v->second);
    } else if constexpr (IsVector<T>::value) {
      if (!json.is_array()) return false;
      for (const Json& item : json) {
        typename T::value_type element;
        if (!From(item, &element)) return false;
        v->push_back(std::move(element));
      }
      return true;
    } else {
      auto fields = FieldList::Of(*v);
      constexpr size_t kCount = std::tuple_size_v<decltype(fields)>;
      constexpr size_t kMinCount = MinFieldCount<T>::Of(kCount);
      if (!json.is_array() || json.size() < kMinCount || json.size() > kCount) {
        return false;
      }
      size_t i = 0;
      const auto read = [&](auto& field) {
        return i >= json.size() || From(json[i++], &field);
      };
      return std::apply([&](auto&... field) { return (read(field) && ...); },
                        fields);
    }
  }
};

}  // namespace beamhill::messages_internal

#endif  // BEAMHILL_MESSAGES_INTERNAL_CBOR_FIELDS_H_
