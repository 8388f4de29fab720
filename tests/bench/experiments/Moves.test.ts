/** Tests of the move experiment: steps of the linear ramp, determinism for a seed, and the report's table. */
import t from 'tap';
import type {Move} from '../../../src/blackboard/index.js';
import {EvidenceRecorder} from '../../../src/controllers/moves/index.js';
import {
  createLinearRamp,
  createMovesReport,
  MoveModel,
  type MoveRecord,
  type MoveRun,
} from '../../../bench/experiments/moves/index.js';
import {createMove} from '../../support/fleetFixtures.js';

const RAMP = createLinearRamp({steps: 20, maxErrorPercent: 5});

t.test('createLinearRamp', t => {
  function doTest(
    name: string,
    nowMs: number,
    errors: number,
    move: Partial<Move>,
    expected: string,
  ) {
    t.test(name, t => {
      const recorder = new EvidenceRecorder();
      for (let index = 0; index < 100; index++) {
        const hasFailed = index < errors;
        const [route, requestClass] = ['/v1/completions', 'chat'];
        const bands = {loadBand: 'low', prefillBand: 'tiny'} as const;
        recorder.addAttempt(
          {service: 'guidance', version: 'v2', route, requestClass, ...bands, hasFailed},
          nowMs - 1_000,
        );
      }
      const times = {startedAtMs: 0, deadlineAtMs: 420_000, changedAtMs: nowMs - 20_000};
      const view = {move: createMove({...times, ...move}), readyPercent: 100};
      const steps = RAMP.decideSteps({...view, evidence: recorder.getEvidence(0)}, nowMs);
      t.equal(steps.map(({phase, sharePercent}) => `${phase} ${sharePercent}`).join(), expected);
      t.end();
    });
  }

  doTest('takes the first step immediately', 0, 0, {sharePercent: 0, changedAtMs: 0}, 'running 5');
  doTest('waits for the next step', 19_000, 50, {sharePercent: 5}, '');
  doTest('increases the share at the next step', 20_000, 5, {sharePercent: 5}, 'running 10');
  doTest('rolls back above the error threshold', 20_000, 6, {sharePercent: 5}, 'taken-back 0');
  doTest(
    'is done one step after reaching 100 percent',
    400_000,
    0,
    {sharePercent: 100},
    'done 100',
  );
  t.end();
});

t.test(
  'MoveModel gives equal results for equal seeds and different ones for different seeds',
  t => {
    const run: MoveRun = {kind: 'errors-at-once', disturbance: 'none', seed: 5};
    t.same(new MoveModel(run, RAMP).getResult(), new MoveModel(run, RAMP).getResult());
    t.not(
      new MoveModel(run, RAMP).getResult().faultyRequests,
      new MoveModel({...run, seed: 6}, RAMP).getResult().faultyRequests,
    );
    t.end();
  },
);

t.test('createMovesReport', t => {
  const run: MoveRun = {kind: 'slow-tokens', disturbance: 'none', seed: 5};
  const result = new MoveModel({...run, deadlineMs: 84_000}, RAMP).getResult();
  const records = [10, 30, 20].map((faultyRequests): MoveRecord => {
    return {policy: 'p', run, result: {...result, faultyRequests, allRequests: 1_000}};
  });
  const {tables} = createMovesReport(records, 'c');
  t.same(tables[0]?.rows, [
    [
      'slow tokens',
      'p',
      '3',
      '0',
      '3',
      '20 / 30',
      '2.00 / 3.00',
      `${result.requestsAfterFault} / ${result.requestsAfterFault}`,
      '100',
    ],
  ]);
  t.end();
});
