/** Measures the time that the admission queue takes for a decision with many waiting requests. */
import {AdmissionQueue, type AdmissionLimits} from '../../src/controllers/admission/index.js';
import {createRandom} from '../../standins/utils/random.js';

/** Mean times of one size of the queue, in microseconds. */
export interface AdmissionTimes {
  readonly waiting: number;
  /** Queueing a request. */
  readonly addMicros: number;
  /** Ending a running request and admitting the next one. */
  readonly completeMicros: number;
  /** Queueing a request in a full queue, where another one is displaced or this one is refused. */
  readonly fullMicros: number;
}

const SEED = 20_261_242;
const WORKSPACES = 64;
const CLASSES = 3;
const OPERATIONS = 2_000;
const RUNNING = 8;
const MICROS_PER_MS = 1_000;

/**
 * Measures the queue at several sizes.
 * @param sizes - Numbers of waiting requests.
 */
export function measureAdmission(sizes: readonly number[]): readonly AdmissionTimes[] {
  measureSize(sizes[0]);
  return sizes.map(measureSize);
}

function measureSize(waiting: number): AdmissionTimes {
  const random = createRandom(SEED);
  const workspaces = Array.from({length: WORKSPACES}, (unused, index) => ({
    name: `w${index}`,
    shareWeight: 1 + (index % 3),
    maxOpenRequests: Infinity,
  }));
  const requestClasses = Array.from({length: CLASSES}, (unused, index) => ({
    name: `c${index}`,
    priority: index,
  }));
  const limits: AdmissionLimits = {
    workspaces,
    requestClasses,
    maxRunningRequests: RUNNING,
    maxQueuedRequests: waiting + OPERATIONS,
  };
  let present = limits;
  let count = 0;
  const queue = new AdmissionQueue({getLimits: () => present});
  const running: string[] = [];
  const add = () => {
    count += 1;
    const request = {
      requestId: String(count),
      workspace: `w${Math.floor(random() ** 2 * WORKSPACES)}`,
      requestClass: `c${Math.floor(random() * CLASSES)}`,
      deadlineAtMs: 1e9 + count,
      latestStartAtMs: 1e6 * random(),
    };
    if (queue.addRequest(request, count).kind === 'admitted') running.push(request.requestId);
  };
  const complete = () => running.push(...queue.removeRequest(running.shift() ?? '', count));
  for (let index = 0; index < waiting + RUNNING; index += 1) add();
  const addMicros = measure(add);
  const completeMicros = measure(complete);
  present = {...limits, maxQueuedRequests: queue.getQueuedCount()};
  return {waiting, addMicros, completeMicros, fullMicros: measure(add)};
}

function measure(operate: () => void): number {
  const startMs = performance.now();
  for (let index = 0; index < OPERATIONS; index += 1) operate();
  return ((performance.now() - startMs) * MICROS_PER_MS) / OPERATIONS;
}
