/** Ends the processes whose ids it is told, once its parent is gone, however that ended. */
import { createInterface } from 'node:readline';

const running = new Set();

const end = (pid) => {
  try {
    process.kill(pid, 'SIGKILL');
  } catch {
    // It has ended meanwhile.
  }
};

/** Each line is the id of a process that has started, or with a minus, of one that has ended. */
const lines = createInterface({ input: process.stdin });
lines.on('line', (line) => {
  const pid = Number(line);
  if (pid > 0) running.add(pid);
  else running.delete(-pid);
});
lines.on('close', () => running.forEach(end));
