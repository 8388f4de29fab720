/** Simulation of 70 gateways and 53 engines of uneven speed in virtual time, against placement by load alone. */
import t from 'tap';
import {PlacementSimulation, type SimulationOptions} from '../../../bench/placement/index.js';

const OPTIONS: SimulationOptions = {
  rule: 'speed',
  seed: 3,
  gateways: 70,
  engines: 53,
  requestsPerSecond: 170,
  hasSharedPrefixes: true,
  chunkOrder: 'first-come',
  warmUpMs: 40_000,
  measuredMs: 40_000,
};

function run(options: Partial<SimulationOptions>) {
  return new PlacementSimulation({...OPTIONS, ...options}).run();
}

t.test('placement by speed in a fleet', t => {
  for (const hasSharedPrefixes of [true, false]) {
    for (const chunkOrder of ['first-come', 'shared'] as const) {
      const name = `${hasSharedPrefixes ? 'shared' : 'no shared'} prefixes, chunks ${chunkOrder}`;
      t.test(`serves more in time, and no kind or size worse: ${name}`, t => {
        const before = run({rule: 'load', hasSharedPrefixes, chunkOrder});
        const after = run({hasSharedPrefixes, chunkOrder});
        const late = [before, after].map(({shareInTime}) => 1 - shareInTime);
        t.ok(late[1] < late[0] * 0.75, `late ${late.join(', now ')}`);
        for (const [kind, share] of after.shareByKind) {
          const shareBefore = before.shareByKind.get(kind) ?? NaN;
          t.ok(share > shareBefore - 0.005, `${kind} ${shareBefore}, now ${share}`);
        }
        after.shareBySizeTenth.forEach((share, tenth) => {
          const shareBefore = before.shareBySizeTenth[tenth];
          t.ok(share > shareBefore - 0.01, `tenth ${tenth + 1}: ${shareBefore}, now ${share}`);
        });
        // Requests are concentrated on fast servers, but no more than that.
        const busiest = [before, after].map(({busiestOverMean}) => busiestOverMean);
        t.ok(busiest[1] < busiest[0] * 1.1, `busiest/mean ${busiest.join(', now ')}`);
        t.ok(after.sharedTokensPerRequest < before.sharedTokensPerRequest * 1.25 + 1);
        t.end();
      });
    }
  }

  t.test('false reports do no more harm than none', t => {
    // Half of the slow engines report to be the fastest ones.
    const report = (id: string, factor: number) => (Number(id.slice(7)) % 10 >= 8 ? 0.5 : factor);
    const before = run({rule: 'load'});
    const after = run({report});
    t.ok(
      after.shareInTime >= before.shareInTime,
      `${before.shareInTime}, now ${after.shareInTime}`,
    );
    t.end();
  });
  t.end();
});
