package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentLinkedDeque;

/** Clients of one sender: connections that are kept, and more of them when all are busy. A client waits 400 ms. */
public final class Client {
    private static final int ANSWER_MS = 400;

    private record Link(Socket socket, BufferedInputStream in, OutputStream out) {}

    private final Rec rec;
    private final int port;
    private final ConcurrentLinkedDeque<Link> idle = new ConcurrentLinkedDeque<>();

    public Client(Rec rec, int port) {
        this.rec = rec;
        this.port = port;
    }

    /** Whether the sender answers PING. */
    public boolean ping() {
        try {
            Link link = open();
            link.out().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
            link.out().flush();
            String answer = Http.line(link.in());
            link.socket().close();
            return "+PONG".equals(answer);
        } catch (IOException e) {
            return false;
        }
    }

    private Link open() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), ANSWER_MS);
        socket.setSoTimeout(ANSWER_MS);
        return new Link(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
    }

    /** Hands a message in; the answer's line, "" where none came. One that crosses a close goes once more on a new connection. */
    public String submit(String key, String id, String options, byte[] body) {
        String answer = null;
        try {
            Link link = idle.pollLast();
            boolean kept = link != null;
            answer = attempt(kept ? link : open(), key, id, options, body);
            if (answer == null && kept) {
                answer = attempt(open(), key, id, options, body);
            }
        } catch (IOException e) {
            // Nobody there.
        }
        String text = answer == null ? "" : answer;
        rec.log("client " + id + " " + options + " key " + key + " -> " + (text.isEmpty() ? "no answer" : text));
        return text;
    }

    /** Null where the connection has ended without an answer. */
    private String attempt(Link link, String key, String id, String options, byte[] body) throws IOException {
        try {
            StringBuilder head = new StringBuilder("*5\r\n$6\r\nSUBMIT\r\n");
            for (String word : new String[] {key, id, options}) {
                head.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
            }
            head.append('$').append(body.length).append("\r\n");
            byte[] begin = head.toString().getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[begin.length + body.length + 2];
            System.arraycopy(begin, 0, all, 0, begin.length);
            System.arraycopy(body, 0, all, begin.length, body.length);
            all[all.length - 2] = '\r';
            all[all.length - 1] = '\n';
            link.out().write(all);
            link.out().flush();
            String answer = Http.line(link.in());
            if (answer == null) {
                link.socket().close();
                return null;
            }
            idle.addLast(link);
            return answer;
        } catch (SocketTimeoutException e) {
            link.socket().close();
            return "";
        } catch (IOException e) {
            link.socket().close();
            return null;
        }
    }
}
