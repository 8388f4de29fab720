/** What verdicts are read from: the stand-ins' ledgers and the callers' own records. */
import type {RunEntry} from '../../standins/index.js';
import type {Target} from '../language/index.js';
import type {CallAttempt, CallRecord} from '../callers/index.js';

/** Returns the runs at backend servers that a target means. */
export function selectRuns(runs: readonly RunEntry[], target: Target): readonly RunEntry[] {
  const {instance, service, version, failureDomain} = target;
  return runs.filter(
    run =>
      (instance === undefined || run.instanceId === instance) &&
      (service === undefined || run.service === service) &&
      (version === undefined || run.version === version) &&
      (failureDomain === undefined || run.failureDomain === failureDomain),
  );
}

/** Returns the runs of a call whose body is short enough to stand in the ledger. */
export function findRuns(runs: readonly RunEntry[], {marker}: CallRecord): readonly RunEntry[] {
  return runs.filter(({body}) => body?.includes(marker) === true);
}

/** Returns whether an answer is whole and says what a right one says. */
export function isRightAnswer(attempt: CallAttempt, expectedText: string | undefined): boolean {
  const {isWhole, status = 0} = attempt;
  if (!isWhole || status >= 300 || status < 200) return false;
  return expectedText === undefined || getAnswerText(attempt) === expectedText;
}

/** Returns whether an attempt was refused, or reached no entry, before any part of an answer came. */
export function isRefusal({isConnected, status = 0, run, tokens = []}: CallAttempt): boolean {
  if (!isConnected) return true;
  return status >= 400 && run !== undefined && tokens.length === 0;
}

/** Returns all attempts of a call, those of its repeat too. */
export function getAllAttempts({attempts, repeatAttempts}: CallRecord): readonly CallAttempt[] {
  return [...attempts, ...repeatAttempts];
}

function getAnswerText({tokens, text}: CallAttempt): string | undefined {
  if (tokens) return tokens.join('');
  const whole = JSON.parse(text ?? '{}') as {
    readonly choices?: ReadonlyArray<{readonly message?: {readonly content?: string}}>;
  };
  return whole.choices?.[0]?.message?.content;
}
