/** When which request arrives; drawn once from a seed, so that every policy gets the same requests. */
import type {LoadClass, LoadMix, LoadPhase, LoadWorkspace} from './LoadMix.js';

/** A request that is due. */
export interface Arrival {
  readonly number: number;
  readonly atMs: number;
  readonly workspace: LoadWorkspace;
  readonly requestClass: LoadClass;
  /** Which of the workspace's shared beginnings the prompt has. */
  readonly prefixNumber: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Draws the arrivals of a mix as a Poisson process whose rate follows the ramp.
 * @param mix - The mix.
 * @param random - Returns a number from 0 up to 1.
 */
export function planArrivals(mix: LoadMix, random: () => number): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  let phaseStartMs = 0;
  for (const phase of mix.ramp) {
    for (const atMs of drawInstants(phase, random)) {
      const number = arrivals.length;
      arrivals.push({...drawRequest(mix, random), number, atMs: phaseStartMs + atMs});
    }
    phaseStartMs += phase.durationMs;
  }
  return arrivals;
}

/** Draws at the highest rate and keeps each instant with the chance of its own rate. */
function drawInstants(phase: LoadPhase, random: () => number): readonly number[] {
  const {durationMs, fromRatePerSecond, toRatePerSecond} = phase;
  const highestPerSecond = Math.max(fromRatePerSecond, toRatePerSecond);
  const instants: number[] = [];
  if (highestPerSecond === 0) return instants;
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - random()) / highestPerSecond) * MS_PER_SECOND;
    if (atMs >= durationMs) return instants;
    const ratePerSecond =
      fromRatePerSecond + (toRatePerSecond - fromRatePerSecond) * (atMs / durationMs);
    if (random() * highestPerSecond < ratePerSecond) instants.push(atMs);
  }
}

function drawRequest({workspaces, classes}: LoadMix, random: () => number) {
  const workspace = drawWeighted(workspaces, random);
  const requestClass = drawWeighted(classes, random);
  const prefixNumber = Math.floor(random() * requestClass.prefixesPerWorkspace);
  return {workspace, requestClass, prefixNumber};
}

function drawWeighted<Item extends {readonly weight: number}>(
  items: readonly Item[],
  random: () => number,
): Item {
  let left = random() * items.reduce((sum, {weight}) => sum + weight, 0);
  for (const item of items) {
    left -= item.weight;
    if (left < 0) return item;
  }
  return items[items.length - 1];
}
