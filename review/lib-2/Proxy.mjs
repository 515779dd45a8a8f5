import * as net from 'node:net';

/**
 * A path between two processes that can be cut: what arrives while it is cut is lost, without a reset. `rewrite` changes the
 * lines that the target sends, for instance addresses into those of proxies.
 */
export class Proxy {
  constructor(targetPort, rewrite = (line) => line) {
    this.isCut = false;
    this._sockets = new Set();
    this._server = net.createServer((near) => {
      this._track(near);
      if (this.isCut) {
        return;
      }
      const far = net.connect(targetPort, '127.0.0.1');
      this._track(far);
      let isLost = false;
      const onCut = () => {
        isLost = true;
      };
      this._cutListeners.add(onCut);
      let rest = '';
      near.on('data', (part) => isLost || far.write(part));
      far.setEncoding('utf8');
      far.on('data', (part) => {
        const lines = (rest + part).split('\n');
        rest = lines.pop();
        const text = lines.map((line) => `${rewrite(line)}\n`).join('');
        if (!isLost && text !== '') {
          near.write(text);
        }
      });
      const end = (other) => () => {
        this._cutListeners.delete(onCut);
        if (!isLost) {
          other.destroy();
        }
      };
      near.on('close', end(far));
      far.on('close', end(near));
    });
    this._cutListeners = new Set();
  }

  async open() {
    await new Promise((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    this.port = this._server.address().port;
  }

  /** Cuts the path. Connections that were open then stay silent for good; new ones work after `heal`. */
  cut() {
    this.isCut = true;
    this._cutListeners.forEach((onCut) => onCut());
  }

  heal() {
    this.isCut = false;
  }

  close() {
    this._server.close();
    this._sockets.forEach((socket) => socket.destroy());
  }

  _track(socket) {
    this._sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this._sockets.delete(socket));
  }
}
