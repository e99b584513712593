/** A group of the model store: deals places evenly, and lets a member give a place up before another gets it. */
import type { LogPartition, PartitionOwner } from '@baobabdeck/scheduler';
import type { RandomSource } from '@baobabdeck/emulator';
import type { VirtualTime } from './virtual-time.js';

const MEMBER_TTL_MILLISECONDS = 1_500;

/** A group. */
export interface ModelGroup {
  readonly join: (
    member: string,
    places: readonly LogPartition[],
    generation: number,
  ) => { readonly generation: number; readonly partitions: readonly LogPartition[] };
  readonly leave: (member: string) => void;
  readonly owners: () => readonly PartitionOwner[];
  /** Deals every place anew at once. */
  readonly dealAnew: () => void;
}

interface Dealt {
  readonly place: LogPartition;
  holder: string | null;
  target: string | null;
}

/** Creates a group without members. */
export function createModelGroup(time: VirtualTime, random: RandomSource): ModelGroup {
  const seenAt = new Map<string, number>();
  const dealt = new Map<string, Dealt>();
  let generation = 0;

  const members = (): readonly string[] => [...seenAt.keys()].sort();

  const deal = (): void => {
    generation += 1;
    const names = members();
    const most = Math.ceil(dealt.size / Math.max(1, names.length));
    const counts = new Map(names.map((name) => [name, 0]));
    dealt.forEach((entry) => {
      const count = entry.target === null ? undefined : counts.get(entry.target);
      if (entry.target !== null && count !== undefined && count < most) counts.set(entry.target, count + 1);
      else entry.target = null;
    });
    dealt.forEach((entry) => {
      if (entry.target !== null) return;
      const [least] = [...counts].sort((left, right) => left[1] - right[1]);
      if (least === undefined) return;
      counts.set(least[0], least[1] + 1);
      [entry.target] = least;
    });
    settle();
  };

  /** A place whose holder is gone goes to the member that it is dealt to. */
  function settle(): void {
    dealt.forEach((entry) => {
      if (entry.holder !== null && !seenAt.has(entry.holder)) entry.holder = null;
      entry.holder ??= entry.target;
    });
  }

  const dropSilent = (): void => {
    const silent = [...seenAt].filter(([, at]) => time.now() - at > MEMBER_TTL_MILLISECONDS);
    silent.forEach(([member]) => seenAt.delete(member));
    if (silent.length > 0) deal();
  };

  const join: ModelGroup['join'] = (member, places, acknowledged) => {
    dropSilent();
    const isNew = !seenAt.has(member);
    const added = places.filter(({ topic, partition }) => !dealt.has(`${topic}/${partition}`));
    seenAt.set(member, time.now());
    added.forEach((place) =>
      dealt.set(`${place.topic}/${place.partition}`, { place, holder: null, target: null }),
    );
    if (isNew || added.length > 0) deal();
    if (acknowledged >= generation) {
      dealt.forEach((entry) => {
        if (entry.holder === member && entry.target !== member) entry.holder = entry.target;
      });
    }
    const held = [...dealt.values()].filter((entry) => entry.holder === member && entry.target === member);
    return { generation, partitions: held.map((entry) => entry.place) };
  };

  return {
    join,
    leave: (member) => {
      if (seenAt.delete(member)) deal();
    },
    owners: () => {
      dropSilent();
      return [...dealt.values()].flatMap(({ place, holder }) =>
        holder === null ? [] : [{ partition: place, member: holder }],
      );
    },
    dealAnew: () => {
      const names = members();
      dealt.forEach((entry) => {
        entry.target = names.length === 0 ? null : random.pick(names);
        entry.holder = entry.target;
      });
      generation += 1;
    },
  };
}
