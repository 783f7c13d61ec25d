#include "include/clients/client_table.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <thread>

namespace toucanknot {
namespace {

ClientBlock Block(const char* text, SiteIndex site) {
  return {ClientPrefix::Parse(text).value(), site};
}

std::vector<std::string> Sites(int n) {
  std::vector<std::string> sites;
  for (int i = 0; i < n; ++i)
    sites.push_back("site-" + std::to_string(i));
  return sites;
}

ClientTablePtr Load(const ClientMapParts& map,
                    const ClientTable& previous = ClientTable()) {
  return ClientTable::Build(
      ClientManifest::Decode(map.manifest), previous,
      [&](const std::string& name) -> std::optional<std::string> {
        const auto it = map.parts.find(name);
        if (it == map.parts.end())
          return std::nullopt;
        return it->second;
      });
}

// Reference longest-prefix match: one map for each length, longest first.
class NaiveTable {
 public:
  explicit NaiveTable(const std::vector<ClientBlock>& blocks) {
    for (const ClientBlock& it : blocks) {
      const ClientPrefix& p = it.prefix;
      tables_[{-p.length, p.family}][p.first] = it.site;
    }
  }

  SiteIndex Find(const ClientAddress& address) const {
    for (const auto& [key, table] : tables_) {
      if (key.second != address.family)
        continue;
      const int drop = WidthOf(address.family) + key.first;
      const AddressBits first = drop == 128 ? 0 : address.bits >> drop << drop;
      if (const auto it = table.find(first); it != table.end())
        return it->second;
    }
    return kNoSite;
  }

 private:
  std::map<std::pair<int, IpFamily>, std::map<AddressBits, SiteIndex>> tables_;
};

AddressBits RandomAddress(std::mt19937_64& random, IpFamily family) {
  const AddressBits bits = AddressBits{random()} << 64 | random();
  return bits & MaxAddress(family);
}

// Blocks of all lengths without duplicates, many of them nested.
std::vector<ClientBlock> RandomBlocks(std::mt19937_64& random, size_t n) {
  std::map<std::pair<AddressBits, int>, ClientBlock> blocks[2];
  std::vector<AddressBits> nearby{0};
  for (size_t i = 0; i < n; ++i) {
    const auto family = static_cast<IpFamily>(random() % 2);
    const int width = WidthOf(family);
    const int length = static_cast<int>(random() % (width + 1));
    AddressBits first =
        random() % 2 ? RandomAddress(random, family)
                     : nearby[random() % nearby.size()] & MaxAddress(family);
    nearby.push_back(first ^ (random() % 64));
    const int drop = width - length;
    first = drop == 128 ? 0 : first >> drop << drop;
    blocks[static_cast<int>(family)][{first, length}] = {
        {family, first, length}, static_cast<SiteIndex>(random() % 50)};
  }
  std::vector<ClientBlock> out;
  for (const auto& it : blocks) {
    for (const auto& [key, block] : it)
      out.push_back(block);
  }
  return out;
}

}  // namespace

TEST_CASE("prefixes are parsed strictly") {
  CHECK(ClientPrefix::Parse("192.0.2.0/24")->ToString() == "192.0.2.0/24");
  CHECK(ClientPrefix::Parse("2001:db8::/32")->ToString() == "2001:db8::/32");
  CHECK(ClientPrefix::Parse("0.0.0.0/0"));
  CHECK(ClientPrefix::Parse("::/0"));
  CHECK(ClientPrefix::Parse("::1/128"));
  for (const char* it : {"192.0.2.0", "192.0.2.1/24", "192.0.2.0/33",
                         "192.0.2.0/-1", "192.0.2.0/2x", "::1/64", "a/8", ""}) {
    CHECK_FALSE(ClientPrefix::Parse(it));
  }
  CHECK(ClientAddress::Parse("::ffff:192.0.2.1") ==
        ClientAddress::Parse("192.0.2.1"));
}

TEST_CASE("the longest prefix wins") {
  const auto table = Load(BuildClientMap(
      {Block("10.0.0.0/8", 0), Block("10.1.0.0/16", 1), Block("10.1.2.0/24", 2),
       Block("255.255.255.255/32", 3), Block("2001:db8::/32", 4)},
      Sites(5)));
  const auto find = [&](const char* text) {
    return table->SiteName(table->Find(*ClientAddress::Parse(text)));
  };
  CHECK(find("10.0.0.1") == "site-0");
  CHECK(find("10.1.1.255") == "site-1");
  CHECK(find("10.1.2.3") == "site-2");
  CHECK(find("10.1.3.0") == "site-1");
  CHECK(find("11.0.0.0").empty());
  CHECK(find("255.255.255.255") == "site-3");
  CHECK(find("2001:db8:ffff::") == "site-4");
  CHECK(find("::").empty());
  CHECK(ClientTable().Find(*ClientAddress::Parse("10.0.0.1")) == kNoSite);
}

TEST_CASE("look-ups match a naive longest-prefix match") {
  std::mt19937_64 random(20261204);
  for (const size_t n : {0, 1, 5, 100, 30'000}) {
    const auto blocks = RandomBlocks(random, n);
    const auto map = BuildClientMap(blocks, Sites(50));
    const auto table = Load(map);
    const NaiveTable naive(blocks);
    int wrong = 0;
    const auto check = [&](ClientAddress address) {
      address.bits &= MaxAddress(address.family);
      wrong += table->Find(address) != naive.Find(address);
    };
    for (const ClientBlock& it : blocks) {
      const ClientPrefix& p = it.prefix;
      for (const AddressBits address :
           {p.first - 1, p.first, p.Last(), p.Last() + 1})
        check({p.family, address});
    }
    for (int i = 0; i < 20'000; ++i) {
      const auto family = static_cast<IpFamily>(i % 2);
      check({family, RandomAddress(random, family)});
    }
    CHECK(wrong == 0);
    for (const auto& [name, bytes] : map.parts)
      CHECK(bytes.size() < 1'000'000);
  }
}

TEST_CASE("a change affects only the parts around it") {
  std::mt19937_64 random(7);
  auto blocks = RandomBlocks(random, 100'000);
  const auto before = Load(BuildClientMap(blocks, Sites(50)));
  blocks[blocks.size() / 2].site ^= 1;
  blocks.erase(blocks.begin() + 10);
  const auto map = BuildClientMap(blocks, Sites(50));
  const auto missing =
      ClientTable::MissingParts(ClientManifest::Decode(map.manifest), *before);
  // Each change may affect the parts at both ends of its block.
  CHECK(missing.size() <= 4);
  CHECK(map.parts.size() > 15);
  std::vector<std::string> requested;
  const auto after =
      ClientTable::Build(ClientManifest::Decode(map.manifest), *before,
                         [&](const std::string& name) {
                           requested.push_back(name);
                           return std::optional(map.parts.at(name));
                         });
  CHECK(requested.size() == missing.size());
  CHECK(after->PartBytes(missing.front()));
}

TEST_CASE("malformed parts are rejected") {
  std::mt19937_64 random(11);
  const auto map = BuildClientMap(RandomBlocks(random, 3000), Sites(50));
  const auto manifest = ClientManifest::Decode(map.manifest);
  const std::string good = map.parts.at(manifest.v4.front());
  CHECK(ClientPart(good).bytes() == good);
  SECTION(
      "modified, truncated and extended bytes are rejected or read in bounds") {
    for (int i = 0; i < 5'000; ++i) {
      std::string bad = good;
      bad[random() % bad.size()] ^= static_cast<char>(1 + random() % 255);
      if (i % 5 == 0)
        bad.resize(random() % bad.size());
      try {
        const ClientPart part(bad);
        for (int k = 0; k < 20; ++k) {
          const AddressBits address = RandomAddress(random, part.family());
          part.Find(std::max(address, part.first_start()));
        }
      } catch (const MalformedPartError&) {
      }
    }
    CHECK_THROWS_AS(ClientPart(good + "x"), MalformedPartError);
    CHECK_THROWS_AS(ClientPart(""), MalformedPartError);
  }
  const auto build = [&](const ClientManifest& m, const std::string& swap) {
    return ClientTable::Build(m, ClientTable(), [&](const std::string& name) {
      return std::optional(name == swap ? good + "x" : map.parts.at(name));
    });
  };
  SECTION("a part that does not match its name") {
    CHECK_THROWS_AS(build(manifest, manifest.v4.front()), MalformedPartError);
    CHECK_THROWS_AS(build(manifest, manifest.sites), MalformedPartError);
  }
  SECTION("parts out of order, duplicated, or of the wrong family") {
    ClientManifest bad = manifest;
    bad.v4.push_back(bad.v4.front());
    CHECK_THROWS_AS(build(bad, ""), MalformedPartError);
    bad = manifest;
    std::swap(bad.v4, bad.v6);
    CHECK_THROWS_AS(build(bad, ""), MalformedPartError);
  }
  SECTION("a truncated or extended manifest") {
    for (size_t n = 0; n < map.manifest.size(); n += 7) {
      CHECK_THROWS_AS(ClientManifest::Decode(map.manifest.substr(0, n)),
                      MalformedPartError);
    }
    CHECK_THROWS_AS(ClientManifest::Decode(map.manifest + "x"),
                    MalformedPartError);
  }
}

TEST_CASE(
    "a block with two sites or an unknown one fails the build of the map") {
  CHECK_THROWS_AS(
      BuildClientMap({Block("10.0.0.0/8", 0), Block("10.0.0.0/8", 1)},
                     Sites(2)),
      Error);
  CHECK_THROWS_AS(BuildClientMap({Block("10.0.0.0/8", 2)}, Sites(2)), Error);
  CHECK_THROWS_AS(BuildClientMap({}, {"a\nb"}), Error);
}

TEST_CASE("look-ups continue while tables are swapped") {
  const auto address = ClientAddress::Parse("10.0.0.1").value();
  ClientTableSlot slot;
  const auto table_of = [&](SiteIndex site) {
    return Load(BuildClientMap({Block("10.0.0.0/8", site)}, Sites(2)));
  };
  slot.Set(table_of(0));
  std::atomic<bool> done = false;
  std::atomic<int> wrong = 0;
  std::thread reader([&] {
    while (!done)
      wrong += slot.Get()->Find(address) > 1;
  });
  for (int i = 0; i < 2'000; ++i)
    slot.Set(table_of(i % 2));
  done = true;
  reader.join();
  CHECK(wrong == 0);
}

}  // namespace toucanknot
