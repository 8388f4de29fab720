/** Tests of what a refusal says of a request whose key may have been used before. */
import t from 'tap';
import {request} from 'undici';
import {CALLER_KEY, ServingHarness} from '../support/ServingHarness.js';

interface Refusal {
  readonly error: {readonly kind: string; readonly run: string};
}

t.test('a refusal before the claim', async t => {
  const harness = new ServingHarness({engines: []});
  await harness.start();
  t.teardown(() => harness.stop());

  async function doTest(name: string, headers: Readonly<Record<string, string>>, run: string) {
    await t.test(name, async t => {
      const answer = await request(`${harness.getUrl()}/v1/services/booking/bookings`, {
        method: 'POST',
        headers: {authorization: `Bearer ${CALLER_KEY}`, ...headers},
        body: '{}',
      });
      const {error} = (await answer.body.json()) as Refusal;
      t.equal(error.run, run);
      t.equal(answer.headers['x-buckthorn-run'], run);
    });
  }

  await doTest('without a key says not run', {}, 'not-run');
  await doTest(
    'with a key can not know what became of it before',
    {'idempotency-key': 'a'},
    'unknown',
  );
});
