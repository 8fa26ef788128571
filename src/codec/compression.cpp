#include <dandeliondock/codec/compression.h>

#include <dandeliondock/core/error.h>

#include <zlib.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr std::size_t chunkBytes = 64U << 10U;

class InflateStream
{
public:
    explicit InflateStream(absl::string_view bytes)
    {
        m_stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
        m_stream.avail_in = static_cast<uInt>(bytes.size());
        m_isReady = inflateInit(&m_stream) == Z_OK;
    }

    ~InflateStream() { inflateEnd(&m_stream); }

    InflateStream(const InflateStream &) = delete;
    InflateStream &operator=(const InflateStream &) = delete;

    [[nodiscard]] bool isReady() const { return m_isReady; }

    [[nodiscard]] bool isInputConsumed() const { return m_stream.avail_in == 0; }

    // Appends at most one chunk of output and returns the result of inflate().
    int inflateChunk(std::string &out)
    {
        const std::size_t oldSize = out.size();
        out.resize(oldSize + chunkBytes);
        m_stream.next_out = reinterpret_cast<Bytef *>(out.data() + oldSize);
        m_stream.avail_out = static_cast<uInt>(chunkBytes);
        const int result = inflate(&m_stream, Z_NO_FLUSH);
        out.resize(out.size() - m_stream.avail_out);
        return result;
    }

private:
    z_stream m_stream{};
    bool m_isReady = false;
};

} // namespace

std::string compressBytes(absl::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string out(size, '\0');
    compress2(reinterpret_cast<Bytef *>(out.data()), &size, reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(),
              Z_DEFAULT_COMPRESSION);
    out.resize(size);
    return out;
}

absl::StatusOr<std::string> decompressBytes(absl::string_view bytes, ByteCount limit)
{
    InflateStream stream(bytes);
    std::string out;
    int result = stream.isReady() ? Z_OK : Z_MEM_ERROR;
    while (result == Z_OK && out.size() <= limit.value())
        result = stream.inflateChunk(out);
    if (out.size() > limit.value())
        return makeError(ErrorKind::InvalidMessage, "the compressed content is longer than the limit");
    if (result != Z_STREAM_END || !stream.isInputConsumed())
        return makeError(ErrorKind::InvalidMessage, "the compressed content is damaged");
    return out;
}

} // namespace dandeliondock
