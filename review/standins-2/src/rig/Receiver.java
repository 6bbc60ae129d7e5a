package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** One receiver, with a port of its own for each sender that calls it, so that calls can be told apart by their sender. */
public final class Receiver implements AutoCloseable {
    /** One call with its messages. */
    public static final class Call {
        public final long number;
        public final String receiver;
        public final int sender;
        public final double atMs;
        public final List<String> ids = new ArrayList<>();
        public final List<String> keys = new ArrayList<>();
        final Socket socket;

        Call(long number, String receiver, int sender, double atMs, Socket socket) {
            this.number = number;
            this.receiver = receiver;
            this.sender = sender;
            this.atMs = atMs;
            this.socket = socket;
        }

        public boolean batch;
    }

    /** What a call is answered: a status after a while; 0 closes the connection with a reset, below 0 says nothing. */
    public record Answer(long afterMs, int status, String headers) {}

    /** Decides on each call, on the thread of its connection. */
    public interface Behaviour {
        Answer called(Call call);

        /** The answer was written, or could not be. */
        default void answered(Call call, int status, boolean written) {}
    }

    private static final AtomicLong NUMBERS = new AtomicLong();

    private final Rec rec;
    public final String uid;
    private final Behaviour behaviour;
    private final List<ServerSocket> servers = new ArrayList<>();

    public Receiver(Rec rec, String uid, int senders, Behaviour behaviour) throws IOException {
        this.rec = rec;
        this.uid = uid;
        this.behaviour = behaviour;
        for (int i = 0; i < senders; i++) {
            int sender = i;
            ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            servers.add(server);
            Net.serve(server, socket -> serve(socket, sender));
        }
    }

    /** The address that the list of this sender has. */
    public String address(int sender) {
        return "127.0.0.1:" + servers.get(sender).getLocalPort();
    }

    private void serve(Socket socket, int sender) throws IOException {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (Http.Request request = Http.read(in); request != null; request = Http.read(in)) {
            Call call = new Call(NUMBERS.incrementAndGet(), uid, sender, rec.ms(), socket);
            if (request.target().equals("/receive-many")) {
                call.batch = true;
                batch(call, request.body());
            } else {
                call.ids.add(request.headers().getOrDefault("x-request-id", ""));
                call.keys.add(request.headers().getOrDefault("idempotency-key", "-"));
            }
            rec.log(uid + " call " + call.number + " from sender " + sender + " " + call.ids);
            Answer answer = behaviour.called(call);
            if (answer.status() < 0) {
                hold(in);
                return;
            }
            if (givenUp(socket, in, answer.afterMs())) {
                rec.log(uid + " call " + call.number + " given up by its sender");
                behaviour.answered(call, answer.status(), false);
                return;
            }
            if (answer.status() == 0) {
                socket.setSoLinger(true, 0);
                rec.log(uid + " call " + call.number + " reset");
                return;
            }
            boolean written = write(out, call, answer);
            rec.log(uid + " call " + call.number + " answered " + answer.status() + (written ? "" : ", nobody there"));
            behaviour.answered(call, answer.status(), written);
            if (!written) {
                return;
            }
        }
    }

    /** Waits so long; true where the sender closes the connection meanwhile, which gives the call up. */
    private static boolean givenUp(Socket socket, BufferedInputStream in, long ms) throws IOException {
        if (ms <= 0) {
            return false;
        }
        socket.setSoTimeout((int) ms);
        try {
            in.mark(1);
            boolean ended = in.read() < 0;
            in.reset();
            return ended;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    private static void hold(BufferedInputStream in) throws IOException {
        while (in.read() >= 0) {
            // Says nothing until the other side gives up.
        }
    }

    private static void batch(Call call, byte[] body) {
        int at = 0;
        while (at < body.length) {
            int end = at;
            while (body[end] != '\n') {
                end++;
            }
            String[] words = new String(body, at, end - at, StandardCharsets.ISO_8859_1).strip().split(" ");
            call.ids.add(words[0]);
            call.keys.add(words[1]);
            at = end + 1 + Integer.parseInt(words[2]) + 2;
        }
    }

    private static boolean write(OutputStream out, Call call, Answer answer) {
        StringBuilder body = new StringBuilder();
        if (call.batch && answer.status() == 200) {
            call.ids.forEach(id -> body.append(id).append(" delivered\r\n"));
        }
        String text = "HTTP/1.1 " + answer.status() + " X\r\nContent-Length: " + body.length() + "\r\n"
                + answer.headers() + "\r\n" + body;
        try {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
    }
}
