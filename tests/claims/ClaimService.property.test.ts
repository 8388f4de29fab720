/**
 * Property test of claims: random interleavings of requests, crashes, pauses, log outages and lost calls, in virtual
 * time.
 */
import fc from 'fast-check';
import t from 'tap';
import {ClaimsSimulation} from '../support/ClaimsSimulation.js';
import {createRandom} from '../support/random.js';

const KEYS = ['k', 'kk', 'kkk'];
const STEP_COUNT = 25;
const MAX_STEP_MS = 1_500;
const RUNS = 1_000;
const TIMEOUT_MS = 180_000;

/** Sends a request or injects a fault at random, then advances the time. */
async function runRandomStep(world: ClaimsSimulation, random: () => number): Promise<void> {
  const choice = random();
  if (choice < 0.6) world.request(KEYS[Math.floor(random() * KEYS.length)]);
  else if (choice < 0.68) world.replaceEntry();
  else if (choice < 0.76) world.pauseEntry(random() * 15_000);
  else if (choice < 0.84) world.log.setOutage(random() < 0.5);
  else if (choice < 0.92) world.setFaultShare(random() < 0.5 ? 0 : 0.3);
  else world.log.dropBefore('claims', Math.floor(random() * world.log.getRecords('claims').length));
  await world.time.advance(random() * MAX_STEP_MS);
}

/**
 * Describes the first violated invariant: one grant and one run a key, and truthful, equal responses; undefined if all
 * hold.
 */
function findViolation({ledger}: ClaimsSimulation): string | undefined {
  for (const key of KEYS) {
    const grants = ledger.grants.get(key) ?? [];
    const runs = ledger.runs.get(key) ?? [];
    if (grants.length > 1) return `${key} was granted to ${grants.join()}`;
    if (runs.length > 1) return `${key} ran as ${runs.join()}`;
    const answers = ledger.answers.filter(answered => answered.key === key);
    if (runs.length > 0 && answers.some(({answer}) => answer.isKnownNotRun)) {
      return `${key} ran although a caller was told that it had not and never would`;
    }
    const bodies = answers.flatMap(({answer}) => answer.answer?.bodyBase64 ?? []);
    if (new Set([...bodies, ...(bodies.length > 0 ? runs : [])]).size > 1) {
      return `${key} was answered as ${bodies.join()}`;
    }
  }
  return undefined;
}

t.setTimeout(TIMEOUT_MS);

t.test('ClaimService', async t => {
  t.setTimeout(TIMEOUT_MS);
  await fc.assert(
    fc.asyncProperty(fc.integer(), fc.integer({min: 1, max: 4}), async (seed, entryCount) => {
      const random = createRandom(seed);
      const world = new ClaimsSimulation(random, entryCount);
      for (let count = 0; count < STEP_COUNT; count++) await runRandomStep(world, random);
      world.log.setOutage(false);
      world.setFaultShare(0);
      await world.time.advance(30_000);
      for (const key of KEYS) {
        const answers = await world.repeatEverywhere(key);
        world.ledger.answers.push(...answers.map(answer => ({key, answer})));
      }
      const violation = findViolation(world);
      if (violation) throw new Error(violation);
    }),
    {seed: 4_201, numRuns: RUNS},
  );
  t.pass('no request ran twice and all responses were correct');
});
