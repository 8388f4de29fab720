/** Expectations about calls, checked against the callers' records and the ledgers. */
import type {RunEntry} from '../../standins/index.js';
import {getSuccessfulAttempt, type CallRecord} from '../callers/index.js';
import {findRuns, getAllAttempts, isRefusal, isExpectedResponse} from './Evidence.js';

/** Descriptions of violations of an expectation; empty if it is met. */
export type Violations = readonly string[];

const PERCENT = 100;

/**
 * Checks that every attempt was refused or got the complete and correct response, and that the last attempt got one.
 * @param mayBeRefused - Whether the last attempt may have been refused instead.
 */
export function checkAnswers(records: readonly CallRecord[], mayBeRefused: boolean): Violations {
  return records.flatMap(record => {
    const {marker, attempts, expectedText} = record;
    const failedAttempts = attempts.filter(
      attempt => !isExpectedResponse(attempt, expectedText) && !isRefusal(attempt),
    );
    if (failedAttempts.length > 0)
      return [`${marker} failed: ${JSON.stringify(summarizeAttempt(failedAttempts[0]))}`];
    const last = attempts.at(-1);
    if (last && isExpectedResponse(last, expectedText)) return [];
    return mayBeRefused ? [] : [`${marker} was refused: ${JSON.stringify(summarizeAttempt(last))}`];
  });
}

/** Checks that at least `min` percent of the calls got a correct response. */
export function checkAnsweredPercent(records: readonly CallRecord[], min: number): Violations {
  const answered = records.filter(({attempts, expectedText}) =>
    attempts.some(attempt => isExpectedResponse(attempt, expectedText)),
  );
  const percent = (answered.length / Math.max(records.length, 1)) * PERCENT;
  return percent >= min ? [] : [`${answered.length} of ${records.length} calls were answered`];
}

/** Checks that no call ran twice, and that every call with a successful response ran. */
export function checkRuns(records: readonly CallRecord[], runs: readonly RunEntry[]): Violations {
  return records.flatMap(record => {
    const count = findRuns(runs, record).length;
    if (count > 1) return [`${record.marker} ran ${count} times`];
    const isConfirmed = getSuccessfulAttempt(getAllAttempts(record)) !== undefined;
    return isConfirmed && count === 0 ? [`${record.marker} was confirmed but never ran`] : [];
  });
}

/** Checks that no call had run by the end of its last attempt that was refused as `not-run`. */
export function checkNotRun(records: readonly CallRecord[], runs: readonly RunEntry[]): Violations {
  return records.flatMap(record => {
    const attempts = getAllAttempts(record);
    const notRunIndex = attempts.findLastIndex(({run}) => run === 'not-run');
    if (notRunIndex === -1) return [];
    const {endedAtMs} = attempts[notRunIndex];
    const earlier = findRuns(runs, record).filter(({startedAtMs}) => startedAtMs <= endedAtMs);
    return earlier.length > 0 ? [`${record.marker} was refused as not-run but had run`] : [];
  });
}

/** Checks that every answered repeat got the response of the first call, and that enough repeats were answered. */
export function checkRepeats(
  records: readonly CallRecord[],
  minAnsweredPercent: number,
): Violations {
  const repeated = records.filter(({repeatAttempts}) => getSuccessfulAttempt(repeatAttempts));
  const percent = (repeated.length / Math.max(records.length, 1)) * PERCENT;
  const isEnough = percent >= minAnsweredPercent;
  const tooFewAnswered = isEnough
    ? []
    : [`${repeated.length} of ${records.length} repeats were answered`];
  const differingAnswers = records.flatMap(({marker, attempts, repeatAttempts}) => {
    const first = getSuccessfulAttempt(attempts);
    const repeat = getSuccessfulAttempt(repeatAttempts);
    if (!first || !repeat || first.text === repeat.text) return [];
    return [`${marker} was answered ${first.text} and then ${repeat.text}`];
  });
  return [...tooFewAnswered, ...differingAnswers];
}

function summarizeAttempt(attempt: CallRecord['attempts'][number] | undefined) {
  if (!attempt) return undefined;
  const {tokens, text, ...rest} = attempt;
  return {...rest, tokens: tokens?.length, text: text?.slice(0, PERCENT)};
}
