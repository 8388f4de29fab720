/** Overload in virtual time: gateways without a coordinator before servers with 12 and 32 slots. */
import t from 'tap';
import {OverloadSimulation, type OverloadOptions} from '../../support/OverloadSimulation.js';

const SEED = 20_261_243;
const WARM_UP_MS = 4_000;
const MEASURED_MS = 8_000;
const SERVER_SLOTS = [12, 12, 12, 12, 12, 12, 12, 12, 12, 12, 32, 32, 32, 32];
const KINDS = [
  {
    name: 'short',
    weight: 6,
    firstEventMs: 60,
    totalMs: 500,
    latencyTargetMs: 500,
    timeoutMs: 3_000,
  },
  {
    name: 'long',
    weight: 3,
    firstEventMs: 300,
    totalMs: 2_000,
    latencyTargetMs: 1_000,
    timeoutMs: 12_000,
  },
  {
    name: 'prompt',
    weight: 1,
    firstEventMs: 900,
    totalMs: 2_500,
    latencyTargetMs: 2_000,
    timeoutMs: 15_000,
  },
];

function create(gateways: number, load: number, fields: Partial<OverloadOptions> = {}) {
  return new OverloadSimulation({
    seed: SEED,
    gateways,
    serverSlots: SERVER_SLOTS,
    kinds: KINDS,
    workspaceWeights: [10, 3, 3, 2, 1, 1, 1, 0.5],
    load,
    durationMs: WARM_UP_MS + MEASURED_MS + 6_000,
    hasQueue: true,
    ...fields,
  });
}

function run(gateways: number, load: number, fields: Partial<OverloadOptions> = {}) {
  const simulation = create(gateways, load, fields);
  simulation.run();
  return simulation.getResult(WARM_UP_MS, WARM_UP_MS + MEASURED_MS);
}

t.test('requests before overloaded servers', t => {
  // Without a queue at the gateways, the queues of the servers grow until no response is in time.
  for (const load of [1.2, 1.5, 2, 3, 5]) {
    t.test(`7 gateways at ${load} times the capacity`, t => {
      const result = run(7, load);
      t.comment(JSON.stringify(result));
      t.ok(result.usefulShare >= 0.9, `useful share of the slots: ${result.usefulShare}`);
      t.ok(result.leastKind >= 0.85, `least-served kind: ${result.leastKind}`);
      t.ok(result.leastWorkspace >= 0.4, `least-served workspace: ${result.leastWorkspace}`);
      t.equal(result.lateRefusals, 0);
      t.ok(result.usefulShare > 1.5 * run(7, load, {hasQueue: false}).usefulShare);
      t.end();
    });
  }

  // With 70 gateways, each has only a few slots as its even part.
  for (const load of [1.2, 1.5, 2, 3, 5]) {
    t.test(`70 gateways at ${load} times the capacity`, t => {
      const result = run(70, load);
      t.comment(JSON.stringify(result));
      t.ok(result.usefulShare >= 0.9, `useful share of the slots: ${result.usefulShare}`);
      t.ok(result.leastKind >= 0.8, `least-served kind: ${result.leastKind}`);
      t.equal(result.lateRefusals, 0);
      t.end();
    });
  }

  t.test('nothing waits at a third of the capacity', t => {
    for (const gateways of [7, 70]) {
      const result = run(gateways, 0.33);
      t.ok(result.waited <= result.arrived * 0.005, `${result.waited} waited`);
      t.equal(result.refused, 0);
    }
    t.end();
  });
  t.end();
});

t.test('overloaded servers recover', t => {
  const FAULT_MS = 6_000;
  const END_MS = 15_000;

  function doTest(name: string, fault: (simulation: OverloadSimulation) => void, sinceMs: number) {
    t.test(name, t => {
      const simulation = create(7, 1.5, {durationMs: END_MS + 4_000});
      fault(simulation);
      simulation.run();
      const result = simulation.getResult(sinceMs, END_MS);
      t.comment(JSON.stringify(result));
      t.ok(result.usefulShare >= 0.85, `useful share of the slots: ${result.usefulShare}`);
      t.equal(result.lateRefusals, 0);
      t.end();
    });
  }

  doTest(
    'after a gateway has died with its requests',
    simulation => simulation.at(FAULT_MS, () => simulation.kill(0)),
    FAULT_MS + 2_000,
  );
  doTest(
    'after a gateway was frozen for 2 s',
    simulation => {
      simulation.at(FAULT_MS, () => simulation.setFrozen(0, true));
      simulation.at(FAULT_MS + 2_000, () => simulation.setFrozen(0, false));
    },
    FAULT_MS + 4_000,
  );
  doTest(
    'after a gateway was cut off from the others for 3 s',
    simulation => {
      simulation.at(FAULT_MS, () => simulation.setCutOff(0, true));
      simulation.at(FAULT_MS + 3_000, () => simulation.setCutOff(0, false));
    },
    FAULT_MS + 5_000,
  );
  doTest(
    'after all gateways were started again at once',
    simulation => {
      simulation.at(FAULT_MS, () => {
        for (let index = 0; index < 7; index += 1) simulation.kill(index);
      });
      simulation.at(FAULT_MS + 200, () => {
        for (let index = 0; index < 7; index += 1) simulation.restart(index);
      });
    },
    FAULT_MS + 3_000,
  );
  doTest(
    'after the fleet has doubled',
    simulation => {
      simulation.at(FAULT_MS, () => {
        for (let index = 0; index < 7; index += 1) simulation.addGateway();
        for (const slots of SERVER_SLOTS) simulation.addServer(slots);
      });
    },
    FAULT_MS + 3_000,
  );
  t.end();
});
