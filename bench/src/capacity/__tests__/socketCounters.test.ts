import {describe, expect, it} from 'vitest';
import {parseSockets} from '../processes/socketCounters.js';

const LINE =
  'ESTAB 0 0 127.0.0.1:45762 127.0.0.1:44175 users:(("node",pid=202,fd=19)) ' +
  'timer:(keepalive,59sec,0) ino:51258 sk:1 cgroup:/ <-> ts sack bbr ' +
  'bytes_sent:465 bytes_acked:466 bytes_received:476 segs_out:6 segs_in:5';

describe('parseSockets', () => {
  it('reads the counts of one connection', () => {
    expect(parseSockets(`${LINE}\n`)).toEqual([
      {
        pid: 202,
        inode: '51258',
        localPort: 45_762,
        peerPort: 44_175,
        sentBytes: 465,
        receivedBytes: 476,
        segments: 11,
      },
    ]);
  });

  it('leaves out lines without a process', () => {
    expect(parseSockets('ESTAB 0 0 10.0.0.1:1 10.0.0.2:2 ino:0\n')).toEqual([]);
  });

  it('counts nothing as zero', () => {
    const quiet = LINE.replace('bytes_received:476 ', '');
    expect(parseSockets(quiet)[0]).toMatchObject({receivedBytes: 0});
  });
});
