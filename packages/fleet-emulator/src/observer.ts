/** What the models tell the referee. */
import type { RunEnd, TaskKey } from '@baobabdeck/scheduling';
import type { ModelWorker } from './model-worker-types.js';

/** An order that a worker carried out. */
export interface ObservedStart {
  readonly worker: ModelWorker;
  readonly task: TaskKey;
  readonly run: number;
  readonly specification: string;
  readonly checkpoint: string;
  /** The order was carried out seconds after it was sent. */
  readonly isLate: boolean;
}

/** An end that a worker lists. */
export interface ObservedEnd {
  readonly worker: ModelWorker;
  readonly task: TaskKey;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
  /** Ended because the worker's life was over; no one hears of it. */
  readonly isSilent: boolean;
}

/** A tail of a serving task, in milliseconds. */
export interface ObservedTail {
  readonly task: TaskKey;
  readonly run: number;
  readonly tail: number;
  /** What it would be without filling tasks. */
  readonly quietTail: number;
  readonly target: number;
  /** Filling tasks beside it work. */
  readonly hasWorkingFillers: boolean;
}

/** Sees what workers see. */
export interface WorkerObserver {
  readonly onStart: (start: ObservedStart) => void;
  /** A stop is about to be carried out. */
  readonly onStop: (worker: ModelWorker, task: TaskKey, run: number) => void;
  readonly onEnd: (end: ObservedEnd) => void;
  /** A run is about to crash its worker. */
  readonly onCrash: (worker: ModelWorker, task: TaskKey, run: number) => void;
  /** The capacity of a worker is about to change. */
  readonly onCapacityChange: (worker: ModelWorker) => void;
  readonly onTail: (tail: ObservedTail) => void;
  /** The worker may forget an end. */
  readonly onForgotten: (worker: ModelWorker, task: TaskKey, run: number, wasLapsedSince: boolean) => void;
}
