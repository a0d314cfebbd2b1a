import { expect } from "chai";
import { MersenneTwister19937, Random } from "random-js";
import {
  chooseOverflowPartition,
  choosePartition,
  listPartitionEndpoints,
  listPartitions,
  UNPARTITIONED,
} from "./pool_partition.ts";

/** One endpoint for each letter, which names its place. */
const createEndpoints = (places: string) =>
  [...places].map((place) => ({ place }));

describe("partitions of a stage pool", () => {
  const CASES = [
    {
      name: "one endpoint a place",
      places: "abcd",
      partitions: [UNPARTITIONED],
    },
    { name: "one place", places: "aaaaaa", partitions: [UNPARTITIONED] },
    { name: "no endpoint", places: "", partitions: [UNPARTITIONED] },
    { name: "two a place", places: "aabbcc", partitions: ["a", "b", "c"] },
    { name: "four a place", places: "aaaabbbb", partitions: ["a", "b"] },
    {
      name: "a place with one",
      places: "aaaabbbc",
      partitions: "abc".split(""),
    },
  ];
  for (const { name, places, partitions } of CASES) {
    it(`are ${partitions.length} with ${name}`, () => {
      expect(listPartitions(createEndpoints(places)))
        .to.deep.equal(partitions);
    });
  }

  it("serve their own place, and one of them a place without endpoints", () => {
    const partitions = ["a", "b", "c"];
    expect(choosePartition(partitions, "b")).to.equal("b");
    const other = choosePartition(partitions, "d");
    expect(partitions).to.include(other);
    expect(choosePartition(partitions, "d")).to.equal(other);
    expect(choosePartition([UNPARTITIONED], "b")).to.equal(UNPARTITIONED);
  });

  // The last endpoint of a place is removed while pieces wait for it. They
  // would wait until their deadline.
  it("use all endpoints when those of their place are gone", () => {
    const endpoints = createEndpoints("aabb");
    expect(listPartitionEndpoints(endpoints, "a").length).to.equal(2);
    expect(listPartitionEndpoints(endpoints, "c").length).to.equal(4);
    expect(listPartitionEndpoints(endpoints, UNPARTITIONED).length).to.equal(4);
  });

  // A place has lost most of its endpoints, or has a burst of its own. Its
  // pieces overflow only if that is worth the transfer, and not all to one
  // partition.
  const OVERFLOWS = [
    { name: "is not behind", home: 150, others: [0, 0, 0], chosen: ["h"] },
    { name: "is a little behind", home: 300, others: [150], chosen: ["h"] },
    { name: "is far behind", home: 900, others: [150], chosen: ["0"] },
    {
      name: "and all are far behind",
      home: 900,
      others: [950, 800],
      chosen: ["h"],
    },
    {
      name: "others are free",
      home: 900,
      others: [0, 1, 2, 3],
      chosen: ["0", "1", "2"],
    },
  ];
  for (const { name, home, others, chosen } of OVERFLOWS) {
    it(`are chosen by their waits when the own one ${name}`, () => {
      const random = new Random(MersenneTwister19937.seed(2));
      const waits = new Map([
        ["h", home],
        ...others.map((wait, index) => [String(index), wait] as const),
      ]);
      const seen = new Set(
        Array.from({ length: 60 }, () =>
          chooseOverflowPartition("h", {
            others: others.map((_, index) => String(index)),
            readWait: (partition) => waits.get(partition),
            random: () => random.realZeroToOneExclusive(),
          })),
      );
      expect([...seen].sort()).to.deep.equal(chosen);
    });
  }
});
