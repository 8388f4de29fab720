/** Property test of `ResponseAssembly` with late and interleaved events of several attempts. */
import fc from 'fast-check';
import t from 'tap';
import {ResponseAssembly} from '../../../src/controllers/retry/index.js';

const SEED = 20_261_204;
const RUNS = 2_000;
const ANSWER_TOKENS = 12;

/** One step of a run: a token of any attempt arrives, or the entry starts another attempt. */
const stepArbitrary = fc.oneof(
  {weight: 5, arbitrary: fc.record({kind: fc.constant('token' as const), attempt: fc.nat(5)})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('restart' as const)})},
);

t.test('ResponseAssembly', t => {
  t.test('forwards each token once and in order, however the attempts interleave', t => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 120}), steps => {
        const assembly = new ResponseAssembly('request');
        const forwarded: number[] = [];
        const attempts: Array<{id: string; next: number}> = [];
        const start = () => {
          const {attemptId, passedTokens} = assembly.startAttempt();
          attempts.push({id: attemptId, next: passedTokens.length});
        };
        const emit = (attempt: {id: string; next: number}) => {
          const token = attempt.next++;
          if (token === ANSWER_TOKENS) assembly.finish(attempt.id, 'stop');
          else if (assembly.addToken(attempt.id, String(token))) forwarded.push(token);
        };
        start();
        for (const step of steps) {
          if (step.kind === 'restart') start();
          else emit(attempts[step.attempt % attempts.length]);
        }
        start();
        for (let i = 0; i <= ANSWER_TOKENS; i++) emit(attempts[attempts.length - 1]);
        const expected = Array.from({length: ANSWER_TOKENS}, (unused, index) => index);
        t.same(assembly.getForwardedTokens(), expected.map(String));
        return JSON.stringify(forwarded) === JSON.stringify(expected);
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });
  t.test('continues after the tokens that another entry forwarded', t => {
    const assembly = new ResponseAssembly('request', ['a', 'b']);
    t.same(assembly.startAttempt().passedTokens, ['a', 'b']);
    t.end();
  });
  t.test('drops all events of an abandoned attempt', t => {
    const assembly = new ResponseAssembly('request');
    const {attemptId} = assembly.startAttempt();
    assembly.abandon(attemptId);
    t.notOk(assembly.addToken(attemptId, 'late'));
    t.notOk(assembly.finish(attemptId, 'stop'));
    t.equal(assembly.getDroppedEvents(), 2);
    t.end();
  });
  t.end();
});
