/** Property test of the assembly of answers over late and crossed tries. */
import fc from 'fast-check';
import t from 'tap';
import {AnswerAssembly} from '../../../src/controllers/retry/index.js';

const SEED = 20_261_204;
const RUNS = 2_000;
const ANSWER_TOKENS = 12;

/** What happens next: a token of some try arrives, or the entry starts another try. */
const stepArbitrary = fc.oneof(
  {weight: 5, arbitrary: fc.record({kind: fc.constant('token' as const), attempt: fc.nat(5)})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('restart' as const)})},
);

t.test('AnswerAssembly', t => {
  t.test('passes each token once and in order, whatever tries interleave', t => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 120}), steps => {
        const assembly = new AnswerAssembly('request');
        const passed: number[] = [];
        const attempts: Array<{id: string; next: number}> = [];
        const start = () => {
          const {attemptId, passedTokens} = assembly.startAttempt();
          attempts.push({id: attemptId, next: passedTokens.length});
        };
        const emit = (attempt: {id: string; next: number}) => {
          const token = attempt.next++;
          if (token === ANSWER_TOKENS) assembly.finish(attempt.id, 'stop');
          else if (assembly.addToken(attempt.id, String(token))) passed.push(token);
        };
        start();
        for (const step of steps) {
          if (step.kind === 'restart') start();
          else emit(attempts[step.attempt % attempts.length]);
        }
        start();
        for (let i = 0; i <= ANSWER_TOKENS; i++) emit(attempts[attempts.length - 1]);
        const whole = Array.from({length: ANSWER_TOKENS}, (unused, index) => index);
        t.same(assembly.getPassedTokens(), whole.map(String));
        return JSON.stringify(passed) === JSON.stringify(whole);
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });
  t.test('goes on after tokens that another entry passed on', t => {
    const assembly = new AnswerAssembly('request', ['a', 'b']);
    t.same(assembly.startAttempt().passedTokens, ['a', 'b']);
    t.end();
  });
  t.test('takes nothing from a try that was given up', t => {
    const assembly = new AnswerAssembly('request');
    const {attemptId} = assembly.startAttempt();
    assembly.abandon(attemptId);
    t.notOk(assembly.addToken(attemptId, 'late'));
    t.notOk(assembly.finish(attemptId, 'stop'));
    t.equal(assembly.getDroppedEvents(), 2);
    t.end();
  });
  t.end();
});
