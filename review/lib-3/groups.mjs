/** Groups of the stand-in store: deals partitions to members, and moves one only once its holder has let it go. */

function keyOf([topic, part]) {
  return `${topic}/${part}`;
}

/** Creates the groups; `parts` is the number of partitions of each topic. */
export function createGroups(parts, now) {
  const groups = new Map();

  const groupOf = (name) => {
    const known = groups.get(name);
    if (known !== undefined) return known;
    const created = { generation: 0, members: new Map(), holders: new Map(), targets: new Map() };
    groups.set(name, created);
    return created;
  };

  /** Deals all partitions evenly; a partition stays with its member where the even share permits. */
  const deal = (group) => {
    const topics = [...new Set([...group.members.values()].flatMap((member) => member.topics))].sort();
    const places = topics.flatMap((topic) => Array.from({ length: parts }, (_, part) => [topic, part]));
    const names = [...group.members.keys()].sort();
    const share = Math.ceil(places.length / Math.max(1, names.length));
    const counts = new Map(names.map((name) => [name, 0]));
    const targets = new Map();
    const take = (place, name) => {
      targets.set(keyOf(place), { place, name });
      counts.set(name, counts.get(name) + 1);
    };
    const open = places.filter((place) => {
      const former = group.targets.get(keyOf(place))?.name;
      if (former === undefined || !counts.has(former) || counts.get(former) >= share) return true;
      take(place, former);
      return false;
    });
    open.forEach((place) => {
      const [name] = names.toSorted((left, right) => counts.get(left) - counts.get(right));
      if (name !== undefined) take(place, name);
    });
    group.targets = targets;
    group.generation += 1;
  };

  /** Hands partitions over whose holder is gone or has joined with the newest generation. */
  const settle = (group) => {
    group.targets.forEach(({ name }, key) => {
      const holder = group.holders.get(key);
      const member = group.members.get(holder);
      const isFree = member === undefined || member.generation >= group.generation;
      if (holder !== name && isFree) group.holders.set(key, name);
    });
  };

  const expire = (group) => {
    const gone = [...group.members].filter(([, member]) => now() - member.seenAt > member.ttlMs);
    gone.forEach(([name]) => group.members.delete(name));
    if (gone.length > 0) deal(group);
  };

  const join = ({ group: name, member, topics, ttlMs, generation }) => {
    const group = groupOf(name);
    expire(group);
    const known = group.members.get(member);
    const isChanged = known === undefined || topics.some((topic) => !known.topics.includes(topic));
    group.members.set(member, { topics, ttlMs, generation, seenAt: now() });
    if (isChanged) deal(group);
    settle(group);
    const owned = [...group.targets].filter(
      ([key, target]) => target.name === member && group.holders.get(key) === member,
    );
    const rows = owned.map(([, { place }]) => [...place, 0]);
    return { generation: group.generation, ttlMs, parts: rows };
  };

  return {
    join,
    leave: ({ group: name, member }) => {
      const group = groupOf(name);
      if (group.members.delete(member)) deal(group);
      settle(group);
    },
    owners: (name) => {
      const group = groupOf(name);
      expire(group);
      settle(group);
      return [...group.targets].flatMap(([key, { place }]) => {
        const holder = group.holders.get(key);
        return group.members.has(holder) ? [[...place, holder, 0]] : [];
      });
    },
  };
}
