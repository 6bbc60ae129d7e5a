package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's agent beside one sender: the list of receivers, watches of it, and notices. */
public final class Platform implements AutoCloseable {
    /** A notice that was answered. */
    public record Notice(double atMs, String id, String state) {}

    private record Change(long rev, String uid, String entry) {}

    private static final Pattern NOTICE = Pattern.compile("\"id\":\"([^\"]*)\",\"state\":\"([a-z]*)\"");
    private static final long HEARTBEAT_MS = 2_000;

    private final Rec rec;
    private final String name;
    private final ServerSocket server;
    private final Map<String, String> listed = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long rev = 1;
    /** First notice by message. */
    public final Map<String, Notice> notices = new ConcurrentHashMap<>();

    /** Where set, a watch that begins gets the whole list and never the changes alone. */
    public volatile boolean wholeLists;
    /** Watches that were opened before this count say nothing more and stay open. */
    private volatile int silentBefore;
    private int watches;

    public Platform(Rec rec, String name) throws IOException {
        this.rec = rec;
        this.name = name;
        server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Net.serve(server, this::serve);
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private static String entry(String uid, String address, int dest, String model, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"a\",\"model\":\"" + model
                + "\",\"pod_group\":" + dest + ",\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    /** Lists an endpoint with a state, Ready or Terminating; Gone removes it. */
    public synchronized void put(String uid, String address, int dest, String model, String state) {
        rev++;
        String entry = entry(uid, address, dest, model, state);
        if (state.equals("Gone")) {
            listed.remove(uid);
        } else {
            listed.put(uid, entry);
        }
        changes.add(new Change(rev, uid, entry));
        rec.log(name + " list rev " + rev + " " + uid + " " + state + " " + address);
        notifyAll();
    }

    /** The list as discovery's form has it. */
    public synchronized String known() {
        return "{\"rev\":" + rev + ",\"all\":true,\"targets\":[" + String.join(",", listed.values()) + "]}";
    }

    /** All open watches fall silent and stay open. */
    public synchronized void silenceWatches() {
        silentBefore = watches + 1;
        rec.log(name + " open watches fall silent");
    }

    private void serve(Socket socket) throws IOException {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (Http.Request request = Http.read(in); request != null; request = Http.read(in)) {
            if (request.target().equals("/status")) {
                notices(new String(request.body(), StandardCharsets.UTF_8));
                out.write("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
            } else if (request.target().contains("follow=1")) {
                watch(out, request.target());
                return;
            } else {
                byte[] body = known().getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                out.flush();
            }
        }
    }

    private void notices(String body) {
        Matcher matcher = NOTICE.matcher(body);
        while (matcher.find()) {
            Notice notice = new Notice(rec.ms(), matcher.group(1), matcher.group(2));
            boolean first = notices.putIfAbsent(notice.id(), notice) == null;
            rec.log(name + " notice " + notice.id() + " " + notice.state() + (first ? "" : " again"));
        }
    }

    private void watch(OutputStream out, String target) throws IOException {
        Matcher since = Pattern.compile("since=([0-9]+)").matcher(target);
        long from = since.find() ? Long.parseLong(since.group(1)) : 0;
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        int number;
        boolean whole;
        synchronized (this) {
            number = ++watches;
            whole = wholeLists || from == 0;
        }
        rec.log(name + " watch " + number + " opened since " + from + (whole ? ", gets the whole list" : ""));
        boolean begun = false;
        while (true) {
            String line = "";
            synchronized (this) {
                if (begun && rev == from) {
                    try {
                        wait(HEARTBEAT_MS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                if (number < silentBefore) {
                    return_silent();
                }
                if (!begun && whole) {
                    line = known();
                } else if (rev > from) {
                    StringBuilder entries = new StringBuilder();
                    for (Change change : changes) {
                        if (change.rev() > from) {
                            entries.append(entries.length() == 0 ? "" : ",").append(change.entry());
                        }
                    }
                    line = "{\"rev\":" + rev + ",\"all\":false,\"targets\":[" + entries + "]}";
                }
                from = rev;
            }
            begun = true;
            if (!line.isEmpty()) {
                rec.log(name + " watch " + number + " tells " + (line.contains("\"all\":true") ? "whole " : "")
                        + "rev " + from);
            }
            byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
    }

    /** A silent watch holds its connection until the run ends. */
    private void return_silent() {
        try {
            while (true) {
                wait();
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
