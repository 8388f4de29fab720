/** Tests of the `run` value in refusals of requests whose idempotency key may have been used before. */
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

  await doTest('reports not-run for a request without a key', {}, 'not-run');
  await doTest(
    'reports unknown for a request with a key, since an earlier one may have run',
    {'idempotency-key': 'a'},
    'unknown',
  );
});
