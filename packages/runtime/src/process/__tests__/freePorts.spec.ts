import { readFileSync } from 'node:fs';
import { expect, test, vi } from 'vitest';
import { findFreePorts } from '../freePorts.js';

const COUNT = 150;

const loadAnother = async (): Promise<typeof findFreePorts> => {
  vi.resetModules();
  return (await import('../freePorts.js')).findFreePorts;
};

// Guards against a daemon whose port another test's server has meanwhile, and answers in its place.
test('ports are given out once, and never by the kernel', async () => {
  const findOthers = await loadAnother();
  const [ports, others] = await Promise.all([findFreePorts(COUNT), findOthers(COUNT)]);
  expect(new Set([...ports, ...others]).size).toBe(2 * COUNT);
  const range = readFileSync('/proc/sys/net/ipv4/ip_local_port_range', 'utf8');
  expect(Math.max(...ports, ...others)).toBeLessThan(Number(range.split(/\s/)[0]));
});
