/** Nested titles for ava, which has no `describe` of its own. */
import test, { type ExecutionContext, type ImplementationFn } from 'ava';

/** Declares tests within a group; groups nest. */
export interface Group {
  readonly describe: (title: string, declare: (group: Group) => void) => void;
  readonly it: (title: string, run: (t: ExecutionContext) => void | Promise<void>) => void;
  /** Declares a test of a known fault, listed in KNOWN-RED.txt: it must fail, and is printed. */
  readonly itFails: (title: string, run: (t: ExecutionContext) => void | Promise<void>) => void;
  /** Like `it`, but no other test of the file runs at the same time. */
  readonly itSerially: (title: string, run: (t: ExecutionContext) => void | Promise<void>) => void;
}

function makeGroup(path: readonly string[]): Group {
  const titleOf = (title: string): string => [...path, title].join(' > ');
  return {
    describe: (title, declare) => declare(makeGroup([...path, title])),
    it: (title, run) => test(titleOf(title), run as ImplementationFn<[]>),
    itFails: (title, run) => test.failing(titleOf(title), run as ImplementationFn<[]>),
    itSerially: (title, run) => test.serial(titleOf(title), run as ImplementationFn<[]>),
  };
}

/** Declares a group of tests whose titles begin with the group's. */
export function describe(title: string, declare: (group: Group) => void): void {
  declare(makeGroup([title]));
}
