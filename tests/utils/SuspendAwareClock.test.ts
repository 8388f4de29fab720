/** Time that passes while the machine is suspended, or while its clocks are set. */
import t from 'tap';
import {SuspendAwareClock} from '../../src/utils/index.js';

t.test('time passes while the machine is suspended, and never runs backwards', t => {
  let wallMs = 1_780_000_000_000;
  let monotonicMs = 500;
  const clock = new SuspendAwareClock({
    getWallMs: () => wallMs,
    getMonotonicMs: () => monotonicMs,
  });
  const pass = (monotonic: number, wall: number) => {
    monotonicMs += monotonic;
    wallMs += wall;
    return clock.getNowMs();
  };
  t.equal(pass(100, 100), 600);
  t.equal(pass(10, 5_010), 5_610, 'suspended for 5 s');
  t.equal(pass(50, -2_000), 5_660, 'the wall clock was set back');
  t.equal(pass(50, 2_050), 7_710, 'and forward again');
  t.end();
});

t.test('the clock does not run fast when it is read often', t => {
  let trueMs = 0;
  const clock = new SuspendAwareClock({
    getWallMs: () => 1_780_000_000_000 + Math.floor(trueMs),
    getMonotonicMs: () => trueMs,
  });
  for (let read = 0; read < 50_000; read += 1) {
    trueMs += 0.3;
    clock.getNowMs();
  }
  t.ok(Math.abs(clock.getNowMs() - trueMs) < 20, `${clock.getNowMs() - trueMs} ms too fast`);
  t.end();
});
