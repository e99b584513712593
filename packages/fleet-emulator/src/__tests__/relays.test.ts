import { describe } from '@baobabdeck/test-tools';
import { playSchedule, RELAYED_PLAY, TROUBLED_RELAYED_PLAY } from '../random-play.js';

const FIRST_SEED = 1;
const PLAYS = 6;
const TROUBLED_PLAYS = 4;

/** Positions in the row of a relayed start. */
const KIND_FIELD = 0;
const ID_FIELD = 1;
const RUN_FIELD = 9;
const START_KIND = 0;

type Row = readonly unknown[];

interface OrdersMessage {
  readonly kind: 'relay-orders';
  readonly rows: readonly Row[];
}

function isOrders(content: unknown): content is OrdersMessage {
  return (
    typeof content === 'object' && content !== null && 'kind' in content && content.kind === 'relay-orders'
  );
}

/** Every start is also carried out under the next run of its task. */
function resendUnderNewRun(content: unknown): unknown {
  if (!isOrders(content)) return content;
  const resent = content.rows
    .filter((row) => row[KIND_FIELD] === START_KIND)
    .map((row) => row.with(ID_FIELD, -Number(row[ID_FIELD])).with(RUN_FIELD, Number(row[RUN_FIELD]) + 1));
  return { ...content, rows: [...content.rows, ...resent] };
}

/** Counts the starts that go to relays. */
function countStarts(): { readonly alter: (content: unknown) => unknown; readonly count: () => number } {
  let starts = 0;
  return {
    alter: (content) => {
      if (isOrders(content)) starts += content.rows.filter((row) => row[KIND_FIELD] === START_KIND).length;
      return content;
    },
    count: () => starts,
  };
}

describe('orders through relays', ({ describe: within, it }) => {
  within('which crash, freeze and are cut off', ({ itSerially: plays }) => {
    Array.from({ length: PLAYS }, (_, index) => FIRST_SEED + index).forEach((seed) => {
      plays(`break no rule with seed ${seed}`, async (t) => {
        const starts = countStarts();
        const size = { ...RELAYED_PLAY.size, alterPeerRequest: starts.alter };
        const { violations, errors, completed, runs } = await playSchedule({ ...RELAYED_PLAY, size, seed });
        t.deepEqual(violations, []);
        t.deepEqual(errors, []);
        t.true(completed > 0);
        // Otherwise the play would show nothing about relays.
        t.true(starts.count() > runs / 4, `${starts.count()} of ${runs}`);
      });
    });
  });

  within('among all troubles', ({ itSerially: plays }) => {
    Array.from({ length: TROUBLED_PLAYS }, (_, index) => FIRST_SEED + index).forEach((seed) => {
      plays(`break no rule with seed ${seed}`, async (t) => {
        const { violations, errors, completed } = await playSchedule({ ...TROUBLED_RELAYED_PLAY, seed });
        t.deepEqual(violations, []);
        t.deepEqual(errors, []);
        t.true(completed > 0);
      });
    });
  });

  it('break a rule if a relay sends an order again under a new run', async (t) => {
    const size = { ...RELAYED_PLAY.size, alterPeerRequest: resendUnderNewRun };
    const { violations } = await playSchedule({ ...RELAYED_PLAY, size, kinds: [], seed: FIRST_SEED });
    t.log([...new Set(violations.map(({ rule }) => rule))]);
    t.true(violations.length > 0);
  });
});
