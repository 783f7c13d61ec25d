#include "include/config/config_diff.h"

#include <boost/json/value.hpp>
#include <map>

#include "include/config/config_text.h"
#include "include/config/json_text.h"

namespace toucanknot {
namespace {

using boost::json::value;
// The members of an object or array by name (see ItemName()).
using Members = std::map<std::string, const value*>;

std::string ItemName(const value& item, size_t i) {
  const auto* object = item.if_object();
  if (object && object->contains("id"))
    return std::string(object->at("id").as_string());
  if (object && object->contains("from")) {
    return std::string(object->at("from").as_string()) + "-to-" +
           std::string(object->at("to").as_string());
  }
  return std::to_string(i);
}

bool IsArrayOfObjects(const value& v) {
  return v.is_array() &&
         (v.get_array().empty() || v.get_array().front().is_object());
}

Members MembersOf(const value& v) {
  Members members;
  if (const auto* object = v.if_object()) {
    for (const auto& it : *object)
      members[std::string(it.key())] = &it.value();
  } else {
    const auto& array = v.get_array();
    for (size_t i = 0; i < array.size(); ++i)
      members[ItemName(array[i], i)] = &array[i];
  }
  return members;
}

bool HaveMembers(const value& a, const value& b) {
  return (a.is_object() && b.is_object()) ||
         (IsArrayOfObjects(a) && IsArrayOfObjects(b));
}

class Differ {
 public:
  void Compare(const std::string& path, const value& a, const value& b) {
    if (a == b)
      return;
    if (!HaveMembers(a, b)) {
      list_.push_back({path, WriteJsonLine(a), WriteJsonLine(b)});
      return;
    }
    const Members before = MembersOf(a);
    const Members after = MembersOf(b);
    for (const auto& [name, v] : before) {
      const std::string at = Join(path, name);
      const auto it = after.find(name);
      if (it != after.end())
        Compare(at, *v, *it->second);
      else
        list_.push_back({at, WriteJsonLine(*v), ""});
    }
    for (const auto& [name, v] : after) {
      if (before.count(name) == 0)
        list_.push_back({Join(path, name), "", WriteJsonLine(*v)});
    }
  }

  std::vector<ConfigDifference> TakeDifferences() { return std::move(list_); }

 private:
  static std::string Join(const std::string& path, const std::string& name) {
    return path.empty() ? name : path + "." + name;
  }

  std::vector<ConfigDifference> list_;
};

// The ids of the exceptions that `other` has too, in the order of `config`.
std::string CommonOrder(const FleetConfig& config, const FleetConfig& other) {
  std::string order;
  for (const ConfigException& it : config.exceptions) {
    for (const ConfigException& that : other.exceptions) {
      if (that.id == it.id)
        order += (order.empty() ? "" : ", ") + it.id;
    }
  }
  return order;
}

}  // namespace

std::vector<ConfigDifference> DiffConfigs(const FleetConfig& before,
                                          const FleetConfig& after) {
  Differ differ;
  differ.Compare("", ParseJson(WriteFleetConfig(before), "before"),
                 ParseJson(WriteFleetConfig(after), "after"));
  std::vector<ConfigDifference> list = differ.TakeDifferences();
  const std::string old_order = CommonOrder(before, after);
  const std::string new_order = CommonOrder(after, before);
  if (old_order != new_order)
    list.push_back({"exceptions (order)", old_order, new_order});
  return list;
}

std::string DescribeDifferences(const std::vector<ConfigDifference>& list) {
  std::string text;
  for (const ConfigDifference& it : list) {
    text += "  " + it.path + ": ";
    if (it.before.empty())
      text += "added " + it.after;
    else if (it.after.empty())
      text += "removed " + it.before;
    else
      text += it.before + " -> " + it.after;
    text += '\n';
  }
  return text;
}

}  // namespace toucanknot
