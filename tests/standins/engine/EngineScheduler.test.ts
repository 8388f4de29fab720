/** Tests of the step loop and the scheduling order of the stand-in engine. */
import t from 'tap';
import {createResponseText} from '../../../standins/engine/TokenGenerator.js';
import {DEFAULT_ENGINE_PROFILE} from '../../../standins/engine/EngineProfile.js';
import {EngineScheduler, type EngineJob} from '../../../standins/engine/EngineScheduler.js';
import {PrefixCache} from '../../../standins/engine/PrefixCache.js';

const PROFILE = {...DEFAULT_ENGINE_PROFILE, timeScale: 20, maxBatchRequests: 1};

function createScheduler() {
  return new EngineScheduler(PROFILE, new PrefixCache(1_024, () => undefined), () => 1);
}

function createJob(promptText: string, priority: number, onEnd: (text: string) => void): EngineJob {
  const tokens: string[] = [];
  return {
    promptText,
    maxTokens: 5,
    priority,
    slowdownFactor: 1,
    onAdmitted: () => undefined,
    onToken: token => tokens.push(token),
    onEnd: () => onEnd(tokens.join('')),
  };
}

t.test('EngineScheduler', t => {
  t.test('a resumed response equals an uninterrupted one', async t => {
    const prompt = 'what is left to do\n';
    const full = createResponseText(prompt, 7);
    const firstPart = createResponseText(prompt, 2);
    const scheduler = createScheduler();
    const rest = await new Promise<string>(resolve => {
      scheduler.addJob(createJob(prompt + firstPart, 0, resolve));
    });
    t.equal(firstPart + rest, full);
  });

  t.test('runs the lowest priority value first, and never calls back a removed job', async t => {
    const scheduler = createScheduler();
    const ended: string[] = [];
    await new Promise<void>(resolve => {
      scheduler.addJob(createJob('running', 5, () => ended.push('running')));
      const removed = createJob('removed', 0, () => ended.push('removed'));
      scheduler.addJob(createJob('last', 3, () => resolve()));
      scheduler.addJob(createJob('first', 1, () => ended.push('first')));
      scheduler.addJob(removed);
      scheduler.removeJob(removed);
    });
    t.same(ended, ['running', 'first']);
  });
  t.end();
});
