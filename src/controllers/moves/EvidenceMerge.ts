/** Merges the evidence of many entries and thins out what is old, so that the holder keeps little of it. */
import type {DurationMoments, VersionEvidence} from '../../blackboard/index.js';

/** Time for which the holder keeps evidence. */
export const MERGED_KEPT_MS = 900_000;

/** Windows that ended this long ago are final and go into one block. */
const FINAL_AFTER_MS = 30_000;
const BLOCK_MS = 10_000;

/**
 * Returns one window for each subject: of its own window while entries may still add to it, else of a block.
 * @param evidence - Windows of many entries, merged ones among them.
 * @param nowMs - Present time.
 */
export function mergeEvidence(
  evidence: readonly VersionEvidence[],
  nowMs: number,
): readonly VersionEvidence[] {
  const merged = new Map<string, VersionEvidence>();
  for (const window of evidence) {
    if (window.windowStartMs < nowMs - MERGED_KEPT_MS) continue;
    const placed = {...window, windowStartMs: getMergedStartMs(window, nowMs)};
    const key = getSubjectKey(placed);
    const known = merged.get(key);
    merged.set(key, known ? addWindows(known, placed) : placed);
  }
  return [...merged.values()];
}

/**
 * Tells whether a window is final, so that a later answer of an entry can't change it.
 * @param window - The window.
 * @param nowMs - Present time.
 */
export function isWindowFinal({windowStartMs}: VersionEvidence, nowMs: number): boolean {
  const blockStartMs = windowStartMs - (windowStartMs % BLOCK_MS);
  return blockStartMs + BLOCK_MS + FINAL_AFTER_MS <= nowMs;
}

function getMergedStartMs(window: VersionEvidence, nowMs: number): number {
  const {windowStartMs} = window;
  return isWindowFinal(window, nowMs) ? windowStartMs - (windowStartMs % BLOCK_MS) : windowStartMs;
}

function getSubjectKey(window: VersionEvidence): string {
  const {service, version, route, requestClass, loadBand, prefillBand, windowStartMs} = window;
  return `${service} ${version} ${route} ${requestClass} ${loadBand} ${prefillBand} ${windowStartMs}`;
}

function addWindows(one: VersionEvidence, other: VersionEvidence): VersionEvidence {
  return {
    ...one,
    requests: one.requests + other.requests,
    errors: one.errors + other.errors,
    firstToken: addMoments(one.firstToken, other.firstToken),
    interToken: addMoments(one.interToken, other.interToken),
  };
}

function addMoments(one: DurationMoments, other: DurationMoments): DurationMoments {
  return {
    count: one.count + other.count,
    sumLogMs: one.sumLogMs + other.sumLogMs,
    sumSquaredLogMs: one.sumSquaredLogMs + other.sumSquaredLogMs,
  };
}
