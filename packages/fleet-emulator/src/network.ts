/** The network between processes and everything else: delays, cuts, lost answers and late orders. */
import type { RandomSource } from '@baobabdeck/emulator';
import type { VirtualTime } from './virtual-time.js';

/** Who makes calls; a killed one never hears answers, a frozen one hears them after it wakes. */
export interface Endpoint {
  readonly name: string;
  /** Hands something over to the endpoint, unless it was killed since the call. */
  readonly deliver: (action: () => void) => void;
  /** Lets a call of the endpoint leave, at once or when it comes to it. */
  readonly send: (action: () => void) => void;
}

/** What is wrong with the network now. */
export interface NetworkConditions {
  /** Pairs of names that do not reach each other, as `from>to` and `to>from`. */
  readonly cuts: Set<string>;
  /** Share of the calls to a name that are carried out and not answered. */
  readonly lostAnswers: Map<string, number>;
  /** Share of the calls to a name that are carried out seconds later and not answered. */
  readonly lateCalls: Map<string, number>;
  /** Times longer that calls to a name take. */
  readonly slowness: Map<string, number>;
}

/** One call. */
export interface NetworkCall<T> {
  readonly from: Endpoint;
  readonly to: string;
  /** Carries the call out; `isLate` where that is seconds after it was sent. */
  readonly execute: (isLate: boolean) => Promise<T> | T;
  readonly timeoutMilliseconds: number;
  /** What the caller is told where no answer comes. */
  readonly unanswered: () => T;
}

/** The network. */
export interface Network {
  readonly conditions: NetworkConditions;
  readonly call: <T>(call: NetworkCall<T>) => Promise<T>;
  readonly cut: (one: string, other: string) => void;
}

const ONE_WAY_MILLISECONDS = 1;
const JITTER_MILLISECONDS = 2;

/** A late call is carried out this long after it was sent, at the least and at the most. */
const LATE_FROM_MILLISECONDS = 2_000;
const LATE_SPAN_MILLISECONDS = 10_000;

/** Share of what is sent into a cut that is carried out once the cut has healed. */
const HELD_UP_SHARE = 0.5;

/** Time between two looks whether a cut has healed. */
const CUT_LOOK_MILLISECONDS = 100;

/** Creates a network without faults. */
export function createNetwork(time: VirtualTime, random: RandomSource): Network {
  const conditions: NetworkConditions = {
    cuts: new Set(),
    lostAnswers: new Map(),
    lateCalls: new Map(),
    slowness: new Map(),
  };

  const isCut = (from: string, to: string): boolean => conditions.cuts.has(`${from}>${to}`);

  const delayTo = (to: string): number => {
    const once = ONE_WAY_MILLISECONDS + random.uniform() * JITTER_MILLISECONDS;
    return once * (conditions.slowness.get(to) ?? 1);
  };

  /** Carries a call out once the way is free; what is sent into a cut may be lost. */
  const arrive = (from: string, to: string, action: (wasHeldUp: boolean) => void): void => {
    if (!isCut(from, to)) {
      action(false);
      return;
    }
    if (!random.chance(HELD_UP_SHARE)) return;
    const look = (): void => {
      if (isCut(from, to)) time.after(CUT_LOOK_MILLISECONDS, look);
      else action(true);
    };
    time.after(CUT_LOOK_MILLISECONDS, look);
  };

  const call = <T>({ from, to, execute, timeoutMilliseconds, unanswered }: NetworkCall<T>): Promise<T> =>
    new Promise((resolve) => {
      let isSettled = false;
      const settle = (value: () => T): void => {
        if (isSettled) return;
        isSettled = true;
        from.deliver(() => resolve(value()));
      };
      time.after(timeoutMilliseconds, () => settle(unanswered));
      const isLate = random.chance(conditions.lateCalls.get(to) ?? 0);
      const lateness = isLate ? LATE_FROM_MILLISECONDS + random.uniform() * LATE_SPAN_MILLISECONDS : 0;
      const isLost = isLate || random.chance(conditions.lostAnswers.get(to) ?? 0);
      from.send(() =>
        time.after(delayTo(to) + lateness, () =>
          arrive(from.name, to, (wasHeldUp) => {
            void Promise.resolve(execute(isLate || wasHeldUp)).then((value) => {
              if (isLost) return;
              time.after(delayTo(to), () => {
                if (!isCut(to, from.name)) settle(() => value);
              });
            });
          }),
        ),
      );
    });

  return {
    conditions,
    call,
    cut: (one, other) => {
      conditions.cuts.add(`${one}>${other}`);
      conditions.cuts.add(`${other}>${one}`);
    },
  };
}
