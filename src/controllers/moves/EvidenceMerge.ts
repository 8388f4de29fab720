/** Merges the evidence of all entries and coarsens old windows into blocks, which bounds the lease holder's memory. */
import type {VersionEvidence} from '../../blackboard/index.js';
import {addMoments} from './DurationMoments.js';

/** Time for which the lease holder keeps merged evidence. */
export const MERGED_RETENTION_MS = 900_000;

/** Age from which a block of windows is final. */
const FINAL_AFTER_MS = 30_000;
/** Length of the time blocks into which final windows are merged. */
const BLOCK_MS = 10_000;

/**
 * Merges windows that agree in service, version, route, request class, bands and start time. Final windows are first
 * assigned to the start of their block. Evidence older than the retention time is dropped.
 * @param evidence - Windows of all entries, including those merged earlier.
 * @param nowMs - Current wall clock time in milliseconds.
 */
export function mergeEvidence(
  evidence: readonly VersionEvidence[],
  nowMs: number,
): readonly VersionEvidence[] {
  const merged = new Map<string, VersionEvidence>();
  for (const window of evidence) {
    if (window.windowStartMs < nowMs - MERGED_RETENTION_MS) continue;
    const aligned = {...window, windowStartMs: getMergedStartMs(window, nowMs)};
    const key = getSubjectKey(aligned);
    const existing = merged.get(key);
    merged.set(key, existing ? addWindows(existing, aligned) : aligned);
  }
  return [...merged.values()];
}

/** Returns whether a window is so old that no later report of an entry can change it. */
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
