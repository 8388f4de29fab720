/** Tests of the weighted least-squares fit. */
import t from 'tap';
import {fitLine} from '../../bench/capacity/index.js';

t.test('fitLine', t => {
  function doTest(name: string, power: number, intercept: number, slope: number) {
    t.test(name, t => {
      const sizes = [10, 100, 1_000, 5_000];
      const samples = sizes.map(size => ({
        itemCount: size,
        value: intercept + slope * size ** power,
      }));
      const fit = fitLine(samples, power);
      t.ok(Math.abs(fit.intercept - intercept) < 1e-6);
      t.ok(Math.abs(fit.slope - slope) < 1e-9);
      t.ok(fit.residualPercents.every(percent => Math.abs(percent) < 1e-6));
      t.end();
    });
  }

  doTest('fits a straight line', 1, 40, 2.5);
  doTest('fits a quadratic', 2, 7, 0.125);
  t.test('reports a positive residual for a sample above the line', t => {
    const samples = [1, 2, 3, 4].map(size => ({itemCount: size, value: size === 3 ? 3.3 : size}));
    const {residualPercents} = fitLine(samples);
    t.ok((residualPercents[2] ?? 0) > 3);
    t.ok((residualPercents[0] ?? 0) < 1);
    t.end();
  });
  t.end();
});
