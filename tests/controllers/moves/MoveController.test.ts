/**
 * Tests of version moves: decisions about single steps, and simulated moves of good and faulty versions in virtual
 * time.
 */
import t from 'tap';
import type {Move, VersionEvidence} from '../../../src/blackboard/index.js';
import {decideMove, EvidenceRecorder} from '../../../src/controllers/moves/index.js';
import {createMove} from '../../support/fleetFixtures.js';
import {MoveModel, type MoveRun} from '../../../bench/experiments/moves/index.js';

const FILE_TIMEOUT_MS = 220_000;
t.setTimeout(FILE_TIMEOUT_MS);

const NOW_MS = 300_000;

/** Returns evidence of both versions with the given numbers of attempts and errors per second. */
function createEvidence(
  seconds: number,
  perSecond: Readonly<Record<string, readonly [attempts: number, errors: number]>>,
): readonly VersionEvidence[] {
  const recorder = new EvidenceRecorder();
  for (let atMs = NOW_MS - seconds * 1_000; atMs < NOW_MS; atMs += 1_000) {
    for (const [version, [attempts, errors]] of Object.entries(perSecond)) {
      for (let index = 0; index < attempts; index++) {
        recorder.addAttempt(
          {
            service: 'guidance',
            version,
            route: '/v1/chat/completions',
            requestClass: 'chat',
            loadBand: 'low',
            prefillBand: 'short',
            hasFailed: index < errors,
            firstTokenMs: 100 + index,
          },
          atMs,
        );
      }
    }
  }
  return recorder.getEvidence(0);
}

t.test('decideMove', t => {
  function doTest(
    name: string,
    changes: Partial<Move>,
    evidence: readonly VersionEvidence[],
    expected: readonly string[],
    readyPercent = 100,
  ) {
    t.test(name, t => {
      const move = createMove({startedAtMs: 200_000, changedAtMs: 200_000, ...changes});
      const {effects} = decideMove({move, evidence, readyPercent}, NOW_MS);
      t.same(
        effects.map(one => `${one.phase} ${one.sharePercent}`),
        expected,
      );
      t.end();
    });
  }

  const both = createEvidence(100, {v1: [30, 0], v2: [3, 0]});
  doTest('starts with a small share', {}, createEvidence(30, {v1: [30, 0]}), ['running 2']);
  doTest('waits while no entry reports evidence', {}, [], []);
  doTest('waits for ready backend servers', {}, createEvidence(30, {v1: [30, 0]}), [], 0);
  doTest('waits for the step duration', {sharePercent: 2, changedAtMs: 299_000}, both, []);
  doTest('lowers the share if servers are lost', {sharePercent: 50}, both, ['running 10'], 10);
  doTest('does nothing after the end of the move', {phase: 'done', sharePercent: 100}, both, []);
  doTest('soaks at less than the full share', {sharePercent: 50}, both, ['soaking 95']);
  doTest('is done after the soak', {sharePercent: 95, phase: 'soaking'}, both, ['done 100']);
  doTest('rolls back at the deadline', {deadlineAtMs: NOW_MS, sharePercent: 50}, both, [
    'taken-back 0',
  ]);
  doTest(
    'rolls back a faulty version',
    {sharePercent: 5},
    createEvidence(30, {v1: [30, 0], v2: [2, 1]}),
    ['taken-back 0'],
  );
  doTest(
    'does not roll back if the old version fails as often',
    {sharePercent: 5, changedAtMs: 299_000},
    createEvidence(30, {v1: [30, 15], v2: [2, 1]}),
    [],
  );
  t.end();
});

t.test('decideMove reports once, before the deadline, that it can not be met', t => {
  const evidence = createEvidence(60, {v1: [1, 0]});
  const move = createMove({startedAtMs: 299_000, deadlineAtMs: 330_000, sharePercent: 2});
  const [effect] = decideMove({move, evidence, readyPercent: 100}, NOW_MS).effects;
  t.match(effect?.reason, /^deadline can not be met/);
  t.equal(effect?.sharePercent, 2);
  const reported = {...move, reason: effect?.reason};
  t.same(
    decideMove({move: reported, evidence, readyPercent: 100}, NOW_MS).effects,
    [],
    'only once',
  );
  t.end();
});

/** Largest share that a version with a fault from its start may reach. */
const MAX_FAULT_SHARE_PERCENT = 12;
/** Largest share that a version may reach whose fault begins two minutes after the start of a seven-minute move. */
const MAX_LATER_FAULT_SHARE_PERCENT = 50;
/** Requests to a faulty version, at 40 per second, sent more than 10 s after the first request that met its fault. */
const MAX_REQUESTS_AFTER_FAULT = 300;

t.test('good versions complete and faulty ones are rolled back', {timeout: FILE_TIMEOUT_MS}, t => {
  function doTest(run: MoveRun) {
    t.test(`${run.kind}, disturbance ${run.disturbance}, seed ${run.seed}`, t => {
      const result = new MoveModel(run).getResult();
      if (run.kind === 'good') {
        t.equal(result.move.phase, 'done', result.move.reason ?? 'moved');
        t.ok(result.endedAtMs <= result.move.deadlineAtMs, 'done before the deadline');
      } else {
        t.equal(result.move.phase, 'taken-back');
        const isLater = run.kind.endsWith('later');
        const maxShare = isLater ? MAX_LATER_FAULT_SHARE_PERCENT : MAX_FAULT_SHARE_PERCENT;
        t.ok(result.largestSharePercent <= maxShare, `share ${result.largestSharePercent}`);
        t.ok(result.requestsAfterFault <= MAX_REQUESTS_AFTER_FAULT, 'few requests after the fault');
      }
      t.comment(
        `requests ${result.requests}, faulty ${result.faultyRequests}, after ${result.requestsAfterFault}`,
      );
      t.end();
    });
  }

  const badKinds = [
    'errors-at-once',
    'errors-later',
    'errors-under-load',
    'errors-on-one-route',
    'slow-first-token',
    'slow-first-token-later',
    'slow-tokens',
  ] as const;
  for (const kind of badKinds) {
    doTest({kind, disturbance: 'none', seed: 101});
    doTest({kind, disturbance: 'none', seed: 102});
  }
  doTest({kind: 'good', disturbance: 'none', seed: 201});
  doTest({kind: 'good', disturbance: 'none', seed: 202});
  doTest({kind: 'good', disturbance: 'overload', seed: 203});
  doTest({kind: 'good', disturbance: 'overload', seed: 204});
  doTest({kind: 'good', disturbance: 'reclaim-wave', seed: 205});
  doTest({kind: 'good', disturbance: 'reclaim-wave', seed: 206});
  doTest({kind: 'good', disturbance: 'holder-killed', seed: 207});
  doTest({kind: 'good', disturbance: 'holder-killed', seed: 208});
  t.end();
});
