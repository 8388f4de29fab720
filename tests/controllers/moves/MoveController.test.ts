/** Tests of version moves: cases of a step, and seeded versions under load in virtual time. */
import t from 'tap';
import type {Move, VersionEvidence} from '../../../src/blackboard/index.js';
import {decideMove, EvidenceRecorder} from '../../../src/controllers/moves/index.js';
import {createMove} from '../../support/fleetFixtures.js';
import {MoveModel, type MoveRun} from '../../../bench/experiments/moves/index.js';

const FILE_TIMEOUT_MS = 220_000;
t.setTimeout(FILE_TIMEOUT_MS);

const NOW_MS = 300_000;

/** Returns evidence of both versions with the given numbers of tries and errors a second. */
function createEvidence(
  seconds: number,
  perSecond: Readonly<Record<string, readonly [tries: number, errors: number]>>,
): readonly VersionEvidence[] {
  const recorder = new EvidenceRecorder();
  for (let atMs = NOW_MS - seconds * 1_000; atMs < NOW_MS; atMs += 1_000) {
    for (const [version, [tries, errors]] of Object.entries(perSecond)) {
      for (let index = 0; index < tries; index++) {
        recorder.addTry(
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
  doTest('waits where no entry reports', {}, [], []);
  doTest('waits for ready backend servers', {}, createEvidence(30, {v1: [30, 0]}), [], 0);
  doTest('stays until the step has its time', {sharePercent: 2, changedAtMs: 299_000}, both, []);
  doTest('gives back what lost its servers', {sharePercent: 50}, both, ['running 10'], 10);
  doTest('is over once ended', {phase: 'done', sharePercent: 100}, both, []);
  doTest('soaks at a share that leaves a comparison', {sharePercent: 50}, both, ['soaking 95']);
  doTest('is done after the soak', {sharePercent: 95, phase: 'soaking'}, both, ['done 100']);
  doTest('takes back at the deadline', {deadlineAtMs: NOW_MS, sharePercent: 50}, both, [
    'taken-back 0',
  ]);
  doTest(
    'takes back a version that fails',
    {sharePercent: 5},
    createEvidence(30, {v1: [30, 0], v2: [2, 1]}),
    ['taken-back 0'],
  );
  doTest(
    'keeps a version while the old one fails alike',
    {sharePercent: 5, changedAtMs: 299_000},
    createEvidence(30, {v1: [30, 15], v2: [2, 1]}),
    [],
  );
  t.end();
});

t.test('decideMove says early that a deadline can not be met', t => {
  const evidence = createEvidence(60, {v1: [1, 0]});
  const move = createMove({startedAtMs: 299_000, deadlineAtMs: 330_000, sharePercent: 2});
  const [effect] = decideMove({move, evidence, readyPercent: 100}, NOW_MS).effects;
  t.match(effect?.reason, /^deadline can not be met/);
  t.equal(effect?.sharePercent, 2);
  const told = {...move, reason: effect?.reason};
  t.same(decideMove({move: told, evidence, readyPercent: 100}, NOW_MS).effects, [], 'told once');
  t.end();
});

/** Largest share of a version that is bad from its start. */
const MAX_FAULT_SHARE_PERCENT = 12;
/** Largest share of one whose fault shows two minutes after the start of a move of seven. */
const MAX_LATER_FAULT_SHARE_PERCENT = 50;
/** Requests to a bad version later than 10 s after the first that met its fault, at 40 requests a second. */
const MAX_REQUESTS_AFTER_FAULT = 300;

t.test('seeded versions in virtual time', {timeout: FILE_TIMEOUT_MS}, t => {
  function doTest(run: MoveRun) {
    t.test(`${run.kind}, disturbance ${run.disturbance}, seed ${run.seed}`, t => {
      const result = new MoveModel(run).getResult();
      if (run.kind === 'good') {
        t.equal(result.move.phase, 'done', result.move.reason ?? 'moved');
        t.ok(result.endedAtMs <= result.move.deadlineAtMs, 'moved in time');
      } else {
        t.equal(result.move.phase, 'taken-back');
        const isLater = run.kind.endsWith('later');
        const maxShare = isLater ? MAX_LATER_FAULT_SHARE_PERCENT : MAX_FAULT_SHARE_PERCENT;
        t.ok(result.largestSharePercent <= maxShare, `share ${result.largestSharePercent}`);
        t.ok(result.requestsAfterFault <= MAX_REQUESTS_AFTER_FAULT, 'few requests after the fault');
      }
      t.comment(
        `new ${result.requests}, faulty ${result.faultyRequests}, after ${result.requestsAfterFault}`,
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
